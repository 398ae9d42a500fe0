package promise

import (
	"time"

	"siskinrun/internal/limits/rate"
)

const (
	// SilentAfter is the time after the last reply that a deputy is known to have applied from which on the owner no longer accrues
	// its share.
	SilentAfter = 250 * time.Millisecond
	// Lapse is the time after the last reply to a deputy from which on the owner accrues its share again. A deputy's promise ends
	// earlier, counted from the sending of its request.
	Lapse = 4 * time.Second
)

// Book holds the promises of one owner in one term, one for each failure domain.
type Book struct {
	domains map[string]*promise
}

// promise is that of a failure domain's share to one of its hosts.
type promise struct {
	// host is the deputy, or empty if only a former owner knows it.
	host string
	boot uint64
	// since is when the promise was given, and confirmed the time of the last reply that the deputy is known to have applied.
	since, confirmed time.Time
	// ends is when the deputy has stopped at the latest.
	ends time.Time
	// withheld says that the last call of Withheld counted the domain.
	withheld bool
}

// NewBook returns the book of an owner that learned at the given time that it leads. Until Release, each domain is taken to have a
// deputy of a former owner.
func NewBook(now time.Time, domains []string) *Book {
	b := &Book{domains: make(map[string]*promise, len(domains))}
	for _, d := range domains {
		b.domains[d] = &promise{ends: rate.ExpiredEverywhere(now, Lapse)}
	}
	return b
}

// Release records that the former owner's deputy of a domain has dropped its promise, or that there was none.
func (b *Book) Release(domain string) {
	if p := b.domains[domain]; p != nil && p.host == "" {
		p.ends = time.Time{}
	}
}

// Adopt records that the former owner's deputy of a domain goes on until it is answered in this term.
func (b *Book) Adopt(now time.Time, domain, host string, boot uint64) {
	if p := b.domains[domain]; p != nil && p.host == "" {
		*p = promise{host: host, boot: boot, since: now, ends: rate.ExpiredEverywhere(now, Lapse), withheld: p.withheld}
	}
}

// Ask answers a request of a host that wants to be the deputy of its domain, and says which reply it applied last. It reports
// whether the reply that is sent now may promise the share.
func (b *Book) Ask(now time.Time, domain, host string, boot uint64, confirmed time.Time) bool {
	p := b.domains[domain]
	if p == nil || p.host == host && boot < p.boot {
		return false
	}
	// A host that has started anew holds no promise any more.
	restarted := p.host == host && boot > p.boot
	ended := !now.Before(p.ends)
	if p.host != host && !ended {
		return false
	}
	if p.host != host || restarted || ended {
		*p = promise{host: host, boot: boot, since: now, confirmed: now, withheld: p.withheld}
	}
	if confirmed.After(p.confirmed) {
		p.confirmed = confirmed
	}
	if now.Sub(p.since) > Lapse && now.Sub(p.confirmed) > Lapse {
		return false // the replies do not reach the host: the promise ends, and another host may have it
	}
	p.ends = rate.ExpiredEverywhere(now, Lapse)
	return true
}

// Resign records that a host has dropped its promise and takes no other reply for one.
func (b *Book) Resign(domain, host string, boot uint64) {
	if p := b.domains[domain]; p != nil && p.host == host && p.boot == boot {
		*p = promise{withheld: p.withheld}
	}
}

// Withheld returns the number of domains whose share the owner does not accrue now, and of those whose share it did not accrue
// before the call or does not accrue now.
func (b *Book) Withheld(now time.Time) (n, either int) {
	for _, p := range b.domains {
		before := p.withheld
		p.withheld = now.Before(p.ends) && !now.Before(p.confirmed.Add(SilentAfter))
		if p.withheld {
			n++
		}
		if p.withheld || before {
			either++
		}
	}
	return n, either
}

// Domains returns the number of domains among which the rates are divided.
func (b *Book) Domains() int {
	return len(b.domains)
}

// Unknown returns the domains that may have a deputy of a former owner.
func (b *Book) Unknown(now time.Time) []string {
	var l []string
	for d, p := range b.domains {
		if p.host == "" && now.Before(p.ends) {
			l = append(l, d)
		}
	}
	return l
}
