package probe

import (
	"testing"

	"github.com/matryer/is"
)

func TestJobsAndConfigurations(t *testing.T) {
	is := is.New(t)
	p := NewProbe(t.TempDir())
	is.NoErr(p.jobs())
	is.NoErr(p.routes())
	for _, s := range p.slopes {
		is.True(len(s.Sizes) >= 3)
		if s.Figure == "snapshot bytes" || s.Area == "ledger" {
			f := s.Fit()
			is.True(f.Slope > 0)
			is.True(f.Relative < 0.3)
		}
	}
}
