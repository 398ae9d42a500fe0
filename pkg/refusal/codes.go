package refusal

// CodeCrashingPrompt is the code of CrashingPrompt.
const CodeCrashingPrompt = "crashing-prompt"

// CrashingPrompt refuses a prompt under which upstreams end. It names no time to come back.
var CrashingPrompt = NewNotRun(503, CodeCrashingPrompt, "upstreams end when they begin to answer this prompt")
