package route

import (
	"maps"
	"slices"

	"siskinrun/internal/base/duration"
)

// Route routes the requests of one path prefix or model to a service, or to several by weight.
type Route struct {
	// Prefix is the path prefix of a plain service, empty for a model route.
	Prefix string `json:"prefix,omitempty"`
	// Host is the host name that requests must have, empty for any.
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
	// Repeatable means that a request may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// MaxAttempts is the maximum number of upstreams that one request is sent to, 0 for the default.
	MaxAttempts int `json:"attempts,omitempty"`
	// Rank is the priority of the route under overload. Rank 0 is served first.
	Rank int `json:"rank,omitempty"`
	// Jobs means that requests submit batch jobs.
	Jobs bool `json:"jobs,omitempty"`
	// JobTarget is the agreed time from a job's acceptance to its last result.
	JobTarget duration.Duration `json:"job-target,omitempty"`
	// JobWindow is the time after which the unfinished items of a job may be abandoned.
	JobWindow duration.Duration `json:"job-window,omitempty"`
	// JobTokens is the maximum number of tokens in a team's unfinished items, 0 for no limit.
	JobTokens int64 `json:"job-tokens,omitempty"`
	// Unmetered means that batch items cost no units.
	Unmetered bool `json:"unmetered,omitempty"`
	// Price is the cost of a request in units.
	Price int64 `json:"price"`
	// TokenPrice is the cost of 1000 requested tokens in units.
	TokenPrice int64 `json:"token-price,omitempty"`
	// FirstToken is the agreed time to the first byte of the answer.
	FirstToken duration.Duration `json:"first-token,omitempty"`
	// BetweenTokens is the agreed time between tokens.
	BetweenTokens duration.Duration `json:"between-tokens,omitempty"`
	// Timeout is the maximum duration of a request.
	Timeout duration.Duration `json:"timeout"`
}

// Services returns the services of the route, in no particular order.
func (r Route) Services() []string {
	if len(r.Shares) == 0 {
		return []string{r.Service}
	}
	return slices.Collect(maps.Keys(r.Shares))
}

// PickService returns the service for one request. n is a uniformly random number.
func (r Route) PickService(n uint64) string {
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
	c := r.Price + (r.TokenPrice*tokens+tokensPerPrice-1)/tokensPerPrice
	return max(c, 1)
}

const tokensPerPrice = 1000
