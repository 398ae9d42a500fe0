package refusal

import "time"

// CodeUpstreamEvacuated is the code of UpstreamEvacuated.
const CodeUpstreamEvacuated = "upstream-evacuated"

// evacuatedRetryAfter is the time in which a withdrawn evacuation, or an upstream elsewhere, becomes known.
const evacuatedRetryAfter = time.Second

// UpstreamEvacuated refuses a request whose upstream, or all of whose upstreams, may get no work since their failure domains are
// evacuated.
var UpstreamEvacuated = NewNotRun(503, CodeUpstreamEvacuated, "the upstream may get no work since its failure domain is evacuated").
	WithRetryAfter(evacuatedRetryAfter)
