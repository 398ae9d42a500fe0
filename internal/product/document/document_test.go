package document_test

import (
	"testing"

	"siskinrun/internal/product/document"
	"siskinrun/internal/product/fault"
	"siskinrun/internal/product/settings"
)

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"site": "s", /* x */ "fleet": {"hosts": {"a": {"peers": ":1"}}}, "site": 2,}`), []byte(`{"fleet": null}`))
	f.Add([]byte("// [\n[{\"a\\\"\": 1e9}]"), []byte(`{"teams": {"t": {"rate": 1.5}}}`))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		l := &fault.List{}
		b := document.Parse("b", base, l)
		o := document.Parse("o", overlay, l)
		if b == nil || o == nil {
			if l.Len() == 0 {
				t.Fatal("refused without a fault")
			}
			return
		}
		m := document.Merge(b, o)
		m.Decode(&settings.Settings{}, l)
		if m.Find("fleet.hosts.a") == nil {
			t.Fatal("no place for a field")
		}
	})
}
