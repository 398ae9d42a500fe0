package audit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/audit"
)

var start = time.Unix(1000, 0)

type admission struct {
	at   time.Duration
	cost int64
}

// exceeds checks every span between two admissions against the definition of the bound.
func exceeds(l []admission, rate, burst int64) bool {
	for i := range l {
		var sum int64
		for _, a := range l[i:] {
			sum += a.cost
			d := int64(a.at - l[i].at)
			if (sum-burst)*int64(time.Second) > rate*d {
				return true
			}
		}
	}
	return false
}

func TestAuditorAgreesWithACheckOfEverySpan(t *testing.T) {
	is := is.New(t)
	caught := 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		rate, burst := 1+r.Int64N(20), 1+r.Int64N(30)
		a := &audit.Auditor{}
		a.SetLimits(start, rate, burst, 0)
		var l []admission
		var at time.Duration
		for range 30 {
			at += time.Duration(r.Int64N(int64(300 * time.Millisecond)))
			l = append(l, admission{at, 1 + r.Int64N(4)})
			broken := a.Admit(start.Add(at), l[len(l)-1].cost) != nil
			is.Equal(broken, exceeds(l, rate, burst))
			if broken {
				caught++
				break
			}
		}
	}
	t.Logf("%d of 2000 schedules broke the bound", caught)
	is.True(caught > 200 && caught < 1800)
}

func TestFormerLimitsCountForTheGracePeriod(t *testing.T) {
	for _, c := range []struct {
		name   string
		change time.Duration
		admit  time.Duration
		cost   int64
		ok     bool
	}{
		{"within the grace period", time.Second, 1500 * time.Millisecond, 100, true},
		{"after the grace period", time.Second, 3 * time.Second, 100, false},
		{"new burst after the grace period", time.Second, 3 * time.Second, 10, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &audit.Auditor{}
			a.SetLimits(start, 1000, 100, 0)
			a.SetLimits(start.Add(c.change), 10, 10, time.Second)
			err := a.Admit(start.Add(c.admit), c.cost)
			is.New(t).Equal(err == nil, c.ok)
		})
	}
}
