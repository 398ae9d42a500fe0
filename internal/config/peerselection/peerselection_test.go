package peerselection_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/config/peerselection"
)

const (
	hosts          = 320
	failureDomains = 15
	controlHosts   = 8
)

// fleet returns the failure domain of each host and the control hosts.
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

// countAskingControl returns how many hosts without a disk ask a control host first when one host has failed.
func countAskingControl(domains map[string]string, control []string, failed string) int {
	now := time.Unix(0, 0)
	n := 0
	for h := range domains {
		if slices.Contains(control, h) || h == failed {
			continue
		}
		s := peerselection.NewSelector(h, domains, control)
		if failed != "" {
			s.MarkFailed(now, failed)
		}
		if slices.Contains(control, s.Next(now)[0]) {
			n++
		}
	}
	return n
}

// Guards against a load on control hosts that grows with the number of hosts instead of failure domains.
func TestControlHostsAreAskedByRelaysAlone(t *testing.T) {
	is := is.New(t)
	d, c := fleet()
	is.Equal(countAskingControl(d, c, ""), failureDomains)
}

// Guards against a rush of hosts to the control hosts, or a domain without a relay, when a relay fails.
func TestOneHostReplacesAFailedRelay(t *testing.T) {
	is := is.New(t)
	d, c := fleet()
	is.Equal(countAskingControl(d, c, "host-008"), failureDomains)
	is.Equal(countAskingControl(d, c, "host-100"), failureDomains)
}

func TestFailureBackoffEnds(t *testing.T) {
	is := is.New(t)
	d, c := fleet()
	s := peerselection.NewSelector("host-319", d, c)
	now := time.Unix(0, 0)
	first := s.Next(now)[0]
	s.MarkFailed(now, first)
	is.True(s.Next(now)[0] != first)
	is.Equal(s.Next(now.Add(time.Minute))[0], first)
	s.MarkFailed(now, first)
	s.MarkSucceeded(first)
	is.Equal(s.Next(now)[0], first)
}
