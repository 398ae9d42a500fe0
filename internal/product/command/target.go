package command

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/product/settings"
)

const (
	clientTimeout = 30 * time.Second
	changeIDBytes = 12
)

// settingsFlags are the flags that name the settings files.
type settingsFlags struct {
	base    string
	overlay string
}

func (f *settingsFlags) add(c *kingpin.CmdClause) {
	c.Flag("base", "Base settings file.").Envar("SISKINRUN_BASE").StringVar(&f.base)
	c.Flag("overlay", "Overlay of the site.").Envar("SISKINRUN_OVERLAY").StringVar(&f.overlay)
}

func (f *settingsFlags) load() (*settings.Settings, error) {
	if f.base == "" {
		return nil, errors.New("--base is required")
	}
	return settings.Load(f.base, f.overlay)
}

// fleetFlags are the flags of commands that send operators' requests to a fleet.
type fleetFlags struct {
	settingsFlags
	addresses  []string
	secretFile string
	host       string
	json       bool
}

func (t *fleetFlags) add(c *kingpin.CmdClause) {
	t.settingsFlags.add(c)
	c.Flag("address", "Operators' address of a host, instead of those in the settings.").StringsVar(&t.addresses)
	c.Flag("operator-secret-file", "File with the operators' secret, instead of the one in the settings.").
		StringVar(&t.secretFile)
	c.Flag("ask", "Name of the host to ask first.").StringVar(&t.host)
	c.Flag("json", "Print JSON.").BoolVar(&t.json)
}

// withClient calls f with a client of the fleet's operators' addresses, whose timer runs during the call.
func (t *fleetFlags) withClient(ctx context.Context, f func(context.Context, *operatorclient.Client) error) error {
	s := timer.NewService()
	c, err := t.newClient(s)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	g := group.NewGroup(ctx)
	g.Go("timer", s.Run)
	err = f(ctx, c)
	cancel()
	_ = g.Wait()
	return err
}

func (t *fleetFlags) newClient(s *timer.Service) (*operatorclient.Client, error) {
	c := &operatorclient.Client{Addresses: t.addresses, Timer: s, Timeout: clientTimeout}
	file := t.secretFile
	if t.base != "" {
		b, err := t.load()
		if err != nil {
			return nil, err
		}
		if c.TLS, err = clientTLS(b); err != nil {
			return nil, err
		}
		if len(c.Addresses) == 0 {
			c.Addresses = operatorAddresses(b, t.host)
		}
		if file == "" {
			file = b.ResolvePath("fleet.operator-secret-file", b.Fleet.OperatorSecretFile)
		}
	}
	if file == "" || len(c.Addresses) == 0 {
		return nil, errors.New("give --base, or --address and --operator-secret-file")
	}
	var err error
	c.Secret, err = secret.Read(file)
	return c, err
}

// operatorAddresses returns the operators' addresses in the order of host names, but that of the host named by first at the front.
func operatorAddresses(s *settings.Settings, first string) []string {
	var names []string
	for n := range s.Fleet.Hosts {
		if n != first {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	if _, ok := s.Fleet.Hosts[first]; ok {
		names = append([]string{first}, names...)
	}
	var l []string
	for _, n := range names {
		l = append(l, s.Fleet.Hosts[n].Operators)
	}
	return l
}

// clientTLS returns the TLS configuration of an operator, or nil if the operators' address does not use TLS.
func clientTLS(s *settings.Settings) (*tls.Config, error) {
	t := s.Fleet.TLS.Operators
	if t.CertificateFile == "" {
		return nil, nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.CAFile != "" {
		b, err := os.ReadFile(s.ResolvePath("fleet.tls.operators.authority-file", t.CAFile))
		if err != nil {
			return nil, errors.Wrap(err, "read authority file")
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(b) {
			return nil, errors.New("the authority file of fleet.tls.operators holds no certificate")
		}
	}
	if !t.RequireClientCertificate {
		return c, nil
	}
	k, err := tls.LoadX509KeyPair(
		s.ResolvePath("fleet.tls.operators.certificate-file", t.CertificateFile),
		s.ResolvePath("fleet.tls.operators.key-file", t.KeyFile),
	)
	c.Certificates = []tls.Certificate{k}
	return c, errors.Wrap(err, "read client certificate")
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	fleetFlags
	id   string
	base uint64
	by   string
}

func (f *changeFlags) add(c *kingpin.CmdClause) {
	f.fleetFlags.add(c)
	c.Flag("change-id", "ID of the change; repeat the command with it to learn the outcome.").StringVar(&f.id)
	c.Flag("base-version", "Version that the change is based on; the default is the one in force.").
		Uint64Var(&f.base)
	c.Flag("by", "Name of the operator.").Default(os.Getenv("USER")).StringVar(&f.by)
}

// send fills in the ID, base version and operator of a change, sends it and returns its outcome.
func (f *changeFlags) send(ctx context.Context, c *operatorclient.Client, h *change.Change) (*changeoutcome.Outcome, error) {
	h.ID, h.Base, h.By = f.id, f.base, f.by
	if h.ID == "" {
		h.ID = newChangeID()
	}
	if h.Base == 0 {
		l, err := c.Get(ctx, "/v1/teams")
		if err != nil {
			return nil, err
		}
		h.Base = l.Version
	}
	return c.SendChange(ctx, h)
}

func newChangeID() string {
	b := make([]byte, changeIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// runChange sends a change and prints its outcome.
func (c *Command) runChange(ctx context.Context, s *changeFlags, h *change.Change) error {
	return s.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		o, err := s.send(ctx, k, h)
		if err != nil {
			return err
		}
		if s.json {
			if err := c.printJSON(o); err != nil {
				return err
			}
		} else {
			c.printf("change %s: %s, %s\n", o.ChangeID, o.Status, o.Message)
		}
		return outcomeError(o)
	})
}

// outcomeError returns nil if the change was applied, else an error with its problems and conflicting versions.
func outcomeError(o *changeoutcome.Outcome) error {
	if o.Status == changeoutcome.Applied {
		return nil
	}
	var b strings.Builder
	for _, p := range o.Problems {
		b.WriteString("\n  " + p.Field + ": " + p.Message)
	}
	for _, r := range o.Conflicts {
		b.WriteString("\n  version " + itoa(r.Version) + " by " + r.By + " (" + r.ChangeID + "): " + strings.Join(r.Fields, ", "))
	}
	return errors.Newf("change %s is not applied: %s: %s%s", o.ChangeID, o.Status, o.Message, b.String())
}

func (c *Command) printJSON(v any) error {
	e := json.NewEncoder(c.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
