package jsonc_test

import (
	"testing"

	"siskinrun/internal/product/diagnostic"
	"siskinrun/internal/product/jsonc"
	"siskinrun/internal/product/settings"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"site": "s", /* x */ "fleet": {"hosts": {"a": {"peers": ":1"}}}, "site": 2,}`), []byte(`{"fleet": null}`))
	f.Add([]byte("// [\n[{\"a\\\"\": 1e9}]"), []byte(`{"teams": {"t": {"rate": 1.5}}}`))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		l := &diagnostic.List{}
		b := jsonc.Parse("b", base, l)
		o := jsonc.Parse("o", overlay, l)
		if b == nil || o == nil {
			if l.Len() == 0 {
				t.Fatal("refused without a diagnostic")
			}
			return
		}
		m := jsonc.Merge(b, o)
		m.Decode(&settings.Settings{}, l)
		if m.Find("fleet.hosts.a") == nil {
			t.Fatal("Find returned no node for a field")
		}
	})
}
