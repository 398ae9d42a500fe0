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
	consoleTimeout = 30 * time.Second
	changeIDBytes  = 12
)

// files are the flags that name the settings.
type files struct {
	base    string
	overlay string
}

func (f *files) add(c *kingpin.CmdClause) {
	c.Flag("base", "Base settings file.").Envar("SISKINRUN_BASE").StringVar(&f.base)
	c.Flag("overlay", "Overlay of the site.").Envar("SISKINRUN_OVERLAY").StringVar(&f.overlay)
}

func (f *files) load() (*settings.Settings, error) {
	if f.base == "" {
		return nil, errors.New("--base is needed")
	}
	return settings.Load(f.base, f.overlay)
}

// target are the flags of commands that speak to a fleet.
type target struct {
	files
	addresses  []string
	secretFile string
	host       string
	json       bool
}

func (t *target) add(c *kingpin.CmdClause) {
	t.files.add(c)
	c.Flag("address", "Operators' address of a host, instead of those in the settings.").StringsVar(&t.addresses)
	c.Flag("operator-secret-file", "File with the operators' secret, instead of the one in the settings.").
		StringVar(&t.secretFile)
	c.Flag("ask", "Name of the host to ask first.").StringVar(&t.host)
	c.Flag("json", "Print JSON.").BoolVar(&t.json)
}

// with calls f with a console that speaks to the fleet.
func (t *target) with(ctx context.Context, f func(context.Context, *operatorclient.Client) error) error {
	s := timer.NewService()
	c, err := t.console(s)
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

func (t *target) console(s *timer.Service) (*operatorclient.Client, error) {
	c := &operatorclient.Client{Addresses: t.addresses, Timer: s, Timeout: consoleTimeout}
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
			c.Addresses = operators(b, t.host)
		}
		if file == "" {
			file = b.Path("fleet.operator-secret-file", b.Fleet.OperatorSecretFile)
		}
	}
	if file == "" || len(c.Addresses) == 0 {
		return nil, errors.New("give --base, or --address and --operator-secret-file")
	}
	var err error
	c.Secret, err = secret.Read(file)
	return c, err
}

// operators returns the operators' addresses, that of the named host first.
func operators(s *settings.Settings, first string) []string {
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

// clientTLS returns the TLS of an operator, or nil if the operators' address has none.
func clientTLS(s *settings.Settings) (*tls.Config, error) {
	t := s.Fleet.TLS.Operators
	if t.CertificateFile == "" {
		return nil, nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if t.AuthorityFile != "" {
		b, err := os.ReadFile(s.Path("fleet.tls.operators.authority-file", t.AuthorityFile))
		if err != nil {
			return nil, errors.Wrap(err, "read authority")
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(b) {
			return nil, errors.New("the authority file holds no certificate")
		}
	}
	if !t.Mutual {
		return c, nil
	}
	k, err := tls.LoadX509KeyPair(
		s.Path("fleet.tls.operators.certificate-file", t.CertificateFile),
		s.Path("fleet.tls.operators.key-file", t.KeyFile),
	)
	c.Certificates = []tls.Certificate{k}
	return c, errors.Wrap(err, "read certificate")
}

// step are the flags of commands that change the configuration.
type step struct {
	target
	id   string
	base uint64
	by   string
}

func (s *step) add(c *kingpin.CmdClause) {
	s.target.add(c)
	c.Flag("change-id", "ID of the change; send it again to learn its outcome.").StringVar(&s.id)
	c.Flag("base-version", "Version that the change was made against, instead of the one in force.").
		Uint64Var(&s.base)
	c.Flag("by", "Name of the operator.").Default(os.Getenv("USER")).StringVar(&s.by)
}

// send fills in the change's ID and base and returns its outcome.
func (s *step) send(ctx context.Context, c *operatorclient.Client, h *change.Change) (*changeoutcome.Outcome, error) {
	h.ID, h.Base, h.By = s.id, s.base, s.by
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

// run sends a change and prints its outcome.
func (c *Command) run(ctx context.Context, s *step, h *change.Change) error {
	return s.with(ctx, func(ctx context.Context, k *operatorclient.Client) error {
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
		return failure(o)
	})
}

// failure returns an error that tells why a change was not applied.
func failure(o *changeoutcome.Outcome) error {
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
