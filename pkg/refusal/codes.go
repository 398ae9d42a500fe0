package refusal

import "time"

const (
	// CodeCrashingPrompt is the code of CrashingPrompt.
	CodeCrashingPrompt = "crashing-prompt"
	// CodeSuspectRequest is the code of SuspectRequest.
	CodeSuspectRequest = "suspect-request"

	// crashingRetryAfter is long, so that callers stop rather than come back.
	crashingRetryAfter = time.Minute
	suspectRetryAfter  = time.Second
)

// CrashingPrompt refuses a request under which upstreams end, for its prompt or as a whole.
var CrashingPrompt = NewNotRun(503, CodeCrashingPrompt, "upstreams end when they begin to answer this request").WithRetryAfter(crashingRetryAfter)

// SuspectRequest refuses a request under which an upstream ended, while another one like it is tried.
var SuspectRequest = NewNotRun(503, CodeSuspectRequest, "an upstream ended under a request like this one, and another one is being tried").
	WithRetryAfter(suspectRetryAfter)
