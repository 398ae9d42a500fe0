package costprobe

import (
	"testing"

	"github.com/matryer/is"
)

func TestJobsAndConfigurations(t *testing.T) {
	is := is.New(t)
	p := NewProbe(t.TempDir())
	is.NoErr(p.measureJobs())
	is.NoErr(p.measureRoutes())
	for _, s := range p.curves {
		is.True(len(s.Sizes) >= 3)
		if s.Metric == "snapshot bytes" || s.Area == "ledger" {
			f := s.Fit()
			is.True(f.Slope > 0)
			is.True(f.RelativeResidual < 0.3)
		}
	}
}
