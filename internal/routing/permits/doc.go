// Package permits holds the requests of all hosts to an upstream to the rate limit that the upstream names.
//
// One host coordinates each upstream: it hands out permits at the rate of the limit, and the other hosts ask it for each
// request. Upstreams that name no limit need no permit.
package permits
