package settings

import (
	"os"
	"path/filepath"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/product/diagnostic"
	"siskinrun/internal/product/jsonc"
	"siskinrun/internal/routing/picker"
)

// Load reads a base file and, unless its name is empty, the overlay of a site.
func Load(base, overlay string) (*Settings, error) {
	f := &diagnostic.List{}
	d := parseFile(base, f)
	if overlay != "" {
		o := parseFile(overlay, f)
		if d != nil && o != nil {
			d = jsonc.Merge(d, o)
		}
	}
	if d == nil {
		return nil, f
	}
	s := defaults()
	s.document = d
	d.Decode(s, f)
	s.undecoded = f.Fields()
	s.check(f)
	return s, f.Err()
}

func defaults() *Settings {
	return &Settings{
		Fleet: Fleet{
			LedgerGroups:   defaultLedgerGroups,
			FreshnessLease: duration.Duration(defaultFreshnessLease),
			DrainTime:      duration.Duration(defaultDrainTime),
			Weights:        Weights{BatchThroughput: 1, OnlineTail: 1, WorstTeam: 1, Locality: picker.DefaultLocalityWeight},
		},
		Limits: Limits{
			HeaderBytes: defaultHeaderBytes,
			BodyBytes:   defaultBodyBytes,
			FileBytes:   defaultFileBytes,
			Concurrency: defaultConcurrency,
			HeaderLines: defaultHeaderLines,
			ReadTimeout: duration.Duration(defaultReadTimeout),

			ConnectTimeout:    duration.Duration(defaultConnectTimeout),
			StreamIdleTimeout: duration.Duration(defaultStreamIdleTimeout),
		},
		Teams:  map[string]team.Team{},
		Routes: map[string]route.Route{},
		Models: map[string]model.Model{},
	}
}

func parseFile(file string, f *diagnostic.List) *jsonc.Node {
	b, err := os.ReadFile(file)
	if err != nil {
		f.Add(file, 0, "", "%v", err)
		return nil
	}
	if len(b) > maxFileBytes {
		f.Add(file, 0, "", "is larger than %d bytes", maxFileBytes)
		return nil
	}
	return jsonc.Parse(file, b, f)
}

// ReadSecrets reads the shared secrets from their files. A trusted network has none.
func (s *Settings) ReadSecrets() error {
	if s.Fleet.TrustedNetwork {
		return nil
	}
	f := &diagnostic.List{}
	for _, e := range []struct {
		field string
		path  *string
		to    *secret.Secret
	}{
		{"fleet.peer-secret-file", &s.Fleet.PeerSecretFile, &s.PeerSecret},
		{"fleet.upstream-secret-file", &s.Fleet.UpstreamSecretFile, &s.UpstreamSecret},
		{"fleet.operator-secret-file", &s.Fleet.OperatorSecretFile, &s.OperatorSecret},
	} {
		b, err := secret.Read(s.ResolvePath(e.field, *e.path))
		if err != nil {
			s.addDiagnostic(f, e.field, "%v", err)
		}
		*e.to = b
	}
	return f.Err()
}

// ResolvePath resolves a file name given in a field against the folder of the settings file that holds the field.
func (s *Settings) ResolvePath(field, name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(s.document.Find(field).File), name)
}
