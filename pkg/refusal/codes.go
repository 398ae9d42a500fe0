package refusal

// CodeCrashingPrompt is the code of a call that is refused since upstreams end when they begin to answer its prompt.
const CodeCrashingPrompt = "crashing-prompt"
