package rolecost_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/measure/costcurve"
	"siskinrun/internal/measure/rolecost"
)

func TestRolesRejectsMissingCurves(t *testing.T) {
	is := is.New(t)
	_, err := rolecost.Roles([]*costcurve.Curve{{Area: "burn", Metric: "state bytes", Dimension: "series"}})
	is.True(err != nil)
}

func TestSumSkipsUnmeasuredCosts(t *testing.T) {
	is := is.New(t)
	r := rolecost.Role{Costs: []rolecost.Cost{{Memory: 5, Network: rolecost.NotMeasured}, {Memory: 2, Network: 3, Cores: 0.5}}}
	s := r.Sum()
	is.Equal(s.Memory, 7.0)
	is.Equal(s.Network, 3.0)
	is.Equal(s.Cores, 0.5)
}
