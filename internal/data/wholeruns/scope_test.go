package wholeruns

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestScopeKeepsItsText guards against a setting that is printed as another one or taken although it says nothing known.
func TestScopeKeepsItsText(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`false`, `true`, `"all"`, `["a","b"]`} {
		var s Scope
		is.NoErr(json.Unmarshal([]byte(text), &s))
		b, err := json.Marshal(s)
		is.NoErr(err)
		is.Equal(string(b), text)
		is.Equal(s.IsZero(), text == "false")
		is.Equal(s.Names("a"), text[0] == '"' || text[0] == '[') // "all" and the list
	}
	for _, text := range []string{`null`, `"a"`, `[""]`, `[1]`, `{}`, `1`} {
		var s Scope
		is.True(s.UnmarshalJSON([]byte(text)) != nil)
	}
}
