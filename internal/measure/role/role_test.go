package role_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/measure/role"
	"siskinrun/internal/measure/slope"
)

func TestMissingSlopesAreTold(t *testing.T) {
	is := is.New(t)
	_, err := role.Roles([]*slope.Slope{{Area: "burn", Figure: "state bytes", Size: "series"}})
	is.True(err != nil)
}

func TestSumLeavesOutWhatWasNotMeasured(t *testing.T) {
	is := is.New(t)
	r := role.Role{Costs: []role.Cost{{Memory: 5, Network: role.NotMeasured}, {Memory: 2, Network: 3, Core: 0.5}}}
	s := r.Sum()
	is.Equal(s.Memory, 7.0)
	is.Equal(s.Network, 3.0)
	is.Equal(s.Core, 0.5)
}
