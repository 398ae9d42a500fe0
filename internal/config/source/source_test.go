package source_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/config/source"
)

const (
	hosts          = 320
	failureDomains = 15
	controlHosts   = 8
)

// fleet returns the failure domain of each host, and the control hosts.
func fleet() (map[string]string, []string) {
	d := map[string]string{}
	var c []string
	for i := range hosts {
		n := fmt.Sprintf("host-%03d", i)
		d[n] = fmt.Sprintf("domain-%02d", i%failureDomains)
		if i < controlHosts {
			c = append(c, n)
		}
	}
	return d, c
}

// asking returns how many hosts without a disk ask a control host first.
func asking(domains map[string]string, control []string, silent string) int {
	now := time.Unix(0, 0)
	n := 0
	for h := range domains {
		if slices.Contains(control, h) || h == silent {
			continue
		}
		s := source.NewSource(h, domains, control)
		if silent != "" {
			s.Fail(now, silent)
		}
		if slices.Contains(control, s.Next(now)[0]) {
			n++
		}
	}
	return n
}

func TestControlHostsAreAskedByRelaysAlone(t *testing.T) {
	is := is.New(t)
	d, c := fleet()
	is.Equal(asking(d, c, ""), failureDomains)
}

func TestOneHostTakesThePlaceOfASilentRelay(t *testing.T) {
	is := is.New(t)
	d, c := fleet()
	is.Equal(asking(d, c, "host-008"), failureDomains)
	is.Equal(asking(d, c, "host-100"), failureDomains)
}

func TestSuspicionEnds(t *testing.T) {
	is := is.New(t)
	d, c := fleet()
	s := source.NewSource("host-319", d, c)
	now := time.Unix(0, 0)
	first := s.Next(now)[0]
	s.Fail(now, first)
	is.True(s.Next(now)[0] != first)
	is.Equal(s.Next(now.Add(time.Minute))[0], first)
	s.Fail(now, first)
	s.Help(first)
	is.Equal(s.Next(now)[0], first)
}
