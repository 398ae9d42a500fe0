package route

import (
	"maps"
	"slices"

	"siskinrun/internal/base/span"
)

// Route leads requests of one path prefix or model to one service.
type Route struct {
	// Prefix is the path prefix of a plain service, empty for a model route.
	Prefix string `json:"prefix,omitempty"`
	// Host is the host name that requests must name, empty for any.
	Host string `json:"host,omitempty"`
	// Model is the model name that callers send, empty for a plain service.
	Model string `json:"model,omitempty"`
	// Service is the name under which the upstreams announce themselves.
	Service string `json:"service"`
	// Shares splits the requests over services by weight, in place of Service.
	Shares map[string]int64 `json:"shares,omitempty"`
	// Version is the model version that engines must have loaded, or empty for any.
	Version string `json:"version,omitempty"`
	// Adapter is the adapter that engines must have loaded, or empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Open admits requests without a key.
	Open bool `json:"open,omitempty"`
	// Repeatable says that a request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Attempts is the most upstreams that one request may be sent to, 0 for the usual number.
	Attempts int `json:"attempts,omitempty"`
	// Rank is the order in which routes are served when not all can be, 0 first.
	Rank int `json:"rank,omitempty"`
	// Jobs says that requests submit batch jobs.
	Jobs bool `json:"jobs,omitempty"`
	// JobTarget is the contracted time from a job's acceptance to its last result.
	JobTarget span.Span `json:"job-target,omitempty"`
	// JobWindow is the time after which the open items of a job may be given up.
	JobWindow span.Span `json:"job-window,omitempty"`
	// JobTokens is the most tokens of open items that a team may have, 0 for any number.
	JobTokens int64 `json:"job-tokens,omitempty"`
	// Unmetered says that batch items cost no units.
	Unmetered bool `json:"unmetered,omitempty"`
	// Price is the cost of a request in units.
	Price int64 `json:"price"`
	// TokenPrice is the cost of 1000 requested tokens in units.
	TokenPrice int64 `json:"token-price,omitempty"`
	// FirstToken is the contracted time to the first byte of the answer.
	FirstToken span.Span `json:"first-token,omitempty"`
	// BetweenTokens is the contracted time between tokens.
	BetweenTokens span.Span `json:"between-tokens,omitempty"`
	// Timeout is the longest that a request may take.
	Timeout span.Span `json:"timeout"`
}

// Services returns the services that requests of the route may run on, in no order.
func (r Route) Services() []string {
	if len(r.Shares) == 0 {
		return []string{r.Service}
	}
	return slices.Collect(maps.Keys(r.Shares))
}

// Pick returns the service of one request, given a number drawn evenly from all.
func (r Route) Pick(n uint64) string {
	var sum int64
	for _, w := range r.Shares {
		sum += w
	}
	if sum <= 0 {
		return r.Service
	}
	at := int64(n % uint64(sum))
	for _, s := range slices.Sorted(maps.Keys(r.Shares)) {
		at -= r.Shares[s]
		if at < 0 {
			return s
		}
	}
	return r.Service
}

// Cost returns the price in units of a request that may generate the given tokens.
func (r Route) Cost(tokens int64) int64 {
	c := r.Price + (r.TokenPrice*tokens+tokensPriced-1)/tokensPriced
	return max(c, 1)
}

const tokensPriced = 1000
