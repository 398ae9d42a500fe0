package settings_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/wholeruns"
	"siskinrun/internal/product/settings"
)

const hostJSON = `"a-1": {"failure-domain": "a", "callers": "127.0.0.1:1", "upstreams": "127.0.0.1:2",
"operators": "127.0.0.1:3", "peers": "127.0.0.1:4", "data-folder": "data/a-1"}`

const baseJSON = `{"site": "s", "fleet": {"hosts": {` + hostJSON + `},
"peer-secret-file": "p", "upstream-secret-file": "u", "operator-secret-file": "o"},
"teams": {"t": {"rate": 1, "burst": 1, "weight": 1}},
"models": {"m": {"versions": ["1"], "context": 9}},
"routes": {"r": {"model": "m", "service": "e", "price": 1, "timeout": "1s"}}}`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name    string
		overlay string
		want    []string
	}{
		{"negative overrun of cold upstreams", `{"fleet": {"cold-overrun": -1}}`, []string{"fleet.cold-overrun: is -1, not 0 to 100"}},
		{"endless slack of cold upstreams", `{"fleet": {"cold-slack": 1e9}}`, []string{"fleet.cold-slack: is 1e+09, not 0 to 10000"}},
		{"unknown field", "{\n\"colour\": 1}", []string{"o.jsonc:2: colour: is not a known field"}},
		{"wrong type", "{\"limits\":\n{\"concurrency\": \"x\"}}", []string{"o.jsonc:2: limits.concurrency: must be a whole number"}},
		{"range", "{\"fleet\": {\n\n\"ledger-groups\": 65}}", []string{"o.jsonc:3: fleet.ledger-groups: is 65, not 1 to 64"}},
		{"negative domain traffic", "{\"fleet\": {\"domain-traffic\": -1}}", []string{"o.jsonc:1: fleet.domain-traffic: is -1, not 0 to 100000"}},
		{"unknown scope of whole runs", "{\"fleet\": {\n\"whole-batch-runs\": \"some\"}}", []string{"o.jsonc:2: fleet.whole-batch-runs: must be true, false, \"all\" or a list of services"}},
		{"duplicate name", "{\"teams\": {\"x\": {\"rate\": 1, \"burst\": 1, \"weight\": 1},\n\"x\": {}}}", []string{"o.jsonc:2: teams.x: is given twice, first on line 1"}},
		{"missing model", "{\"routes\": {\"q\": {\"model\": \"zz\", \"service\": \"e\", \"price\": 1,\n\"timeout\": \"1s\"}}}", []string{"o.jsonc:1: routes.q.model: no model is named \"zz\""}},
		{"route clash", "{\"routes\": {\"z\": {\"model\": \"m\", \"service\": \"e\", \"price\": 1, \"timeout\": \"1s\"}}}", []string{"o.jsonc:1: routes.z.model: \"m\" is that of route r"}},
		{"no port", "{\"fleet\": {\"hosts\": {\"a-1\": {\"peers\": \"127.0.0.1\"}}}}", []string{"o.jsonc:1: fleet.hosts.a-1.peers: \"127.0.0.1\" is not an address with a port"}},
		{"no failure domain", "{\"fleet\": {\"hosts\": {\"a-1\": {\"failure-domain\": null}}}}", []string{"fleet.hosts.a-1.failure-domain: is missing"}},
		{"bad span", "{\"fleet\": {\"drain\": \"soon\"}}", []string{"o.jsonc:1: fleet.drain: \"soon\" is not a duration"}},
		{"bad failure domain", "{\"fleet\": {\"failure-domains\": [{\"A b\": \"r\"}]}}", []string{"o.jsonc:1: fleet.failure-domains.0"}},
		{"syntax", "{\"fleet\": [}", []string{"o.jsonc:1: hujson: line 1"}},
		{"too deep", strings.Repeat("[", 65), []string{"nested more than 64 deep"}},
		{"mutual without files", "{\"fleet\": {\"tls\": {\"peers\": {\"mutual\": true}}}}", []string{"fleet.tls.peers.mutual: needs a certificate-file"}},
		{"all at once", "{\"a\": 1,\n\"b\": 2,\n\"site\": 3}", []string{"o.jsonc:1: a:", "o.jsonc:2: b:", "o.jsonc:3: site: must be text"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Load(writeFile(t, "b.jsonc", baseJSON), writeFile(t, "o.jsonc", c.overlay))
			is.True(err != nil)
			is.Equal(strings.Count(err.Error(), "\n")+1, len(c.want))
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q does not contain %q", err, w)
				}
			}
		})
	}
}

func TestMergeAndPrint(t *testing.T) {
	is := is.New(t)
	o := writeFile(t, "o.jsonc", `{ // a comment
	"teams": {"t": {"rate": 7,}, "u": {"rate": 2, "burst": 2, "weight": 2}}, "routes": {"r": null}}`)
	s, err := settings.Load(writeFile(t, "b.jsonc", baseJSON), o)
	is.NoErr(err)
	is.Equal(s.Teams["t"].Rate, int64(7))
	is.Equal(s.Teams["t"].Burst, int64(1))
	is.Equal(len(s.Teams), 2)
	is.Equal(len(s.Configuration().Routes), 0)
	b, err := s.Print()
	is.NoErr(err)
	n, err := settings.Load(writeFile(t, "n.jsonc", string(b)), "")
	is.NoErr(err)
	c, err := n.Print()
	is.NoErr(err)
	is.Equal(string(b), string(c))
}

func TestSecretsAreNotPrinted(t *testing.T) {
	is := is.New(t)
	p := writeFile(t, "b.jsonc", baseJSON)
	s, err := settings.Load(p, "")
	is.NoErr(err)
	err = s.ReadSecrets()
	is.True(err != nil)
	is.Equal(strings.Count(err.Error(), "b.jsonc:3: fleet."), 3)
	for _, f := range []string{"p", "u", "o"} {
		is.NoErr(os.WriteFile(filepath.Join(filepath.Dir(p), f), []byte("0123456789abcdef\n"), 0o600))
	}
	is.NoErr(s.ReadSecrets())
	is.Equal(string(s.PeerSecret), "0123456789abcdef")
	b, err := s.Print()
	is.NoErr(err)
	is.True(!bytes.Contains(b, []byte("0123456789abcdef")))
	is.True(!strings.Contains(fmt.Sprintf("%+v %x", *s, s.PeerSecret), "0123456789abcdef"))
}

func TestExamples(t *testing.T) {
	for _, c := range []struct{ base, overlay, plainService string }{
		{"kowhai/base.jsonc", "kowhai/nz-south.jsonc", "order-desk"},
		{"nieve/base.jsonc", "nieve/mx-centro.jsonc", "hoja-app"},
	} {
		t.Run(c.overlay, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Load("../../../examples/"+c.base, "../../../examples/"+c.overlay)
			is.NoErr(err)
			is.NoErr(s.ReadSecrets())
			is.Equal(len(s.Fleet.Hosts), 9)
			is.Equal(len(s.ControlHosts()), 3)
			is.Equal(len(s.Teams), 8)
			domains := map[string]int{}
			for _, d := range s.FailureDomains() {
				domains[d]++
			}
			is.Equal(len(domains), 3)
			unrepeatable := 0
			for _, r := range s.Routes {
				if r.Service == c.plainService && !r.Repeatable {
					unrepeatable++
				}
			}
			is.Equal(unrepeatable, 1)
		})
	}
}

// TestFailureDomainsOfATemplate guards against a host that does not start where the platform names no zones: a template then
// has nothing or null in the list.
func TestFailureDomainsOfATemplate(t *testing.T) {
	for text, want := range map[string]int{``: 0, `null`: 0, `{"z0": "r0", "z1": "r0"}`: 2} {
		is := is.New(t)
		s, err := settings.Load(writeFile(t, "b.jsonc", baseJSON), writeFile(t, "o.jsonc", `{"fleet": {"failure-domains": [`+text+`]}}`))
		is.NoErr(err)
		n := 0
		for _, m := range s.Fleet.FailureDomains {
			n += len(m)
		}
		is.Equal(n, want)
	}
}

// TestWholeBatchRuns guards against values of the setting that are not read or change when the settings are printed.
func TestWholeBatchRuns(t *testing.T) {
	for text, want := range map[string]wholeruns.Scope{
		`true`: {Paced: true}, `false`: {}, `"all"`: {All: true}, `["e", "f"]`: {Services: []string{"e", "f"}},
	} {
		is := is.New(t)
		overlay := writeFile(t, "o.jsonc", `{"fleet": {"whole-batch-runs": `+text+`}}`)
		s, err := settings.Load(writeFile(t, "b.jsonc", baseJSON), overlay)
		is.NoErr(err)
		is.Equal(s.Fleet.WholeBatchRuns, want)
		b, err := s.Print()
		is.NoErr(err)
		s, err = settings.Load(writeFile(t, "p.jsonc", string(b)), "")
		is.NoErr(err)
		is.Equal(s.Fleet.WholeBatchRuns, want)
	}
}
