package model

// Model is a set of weights with its versions and adapters.
type Model struct {
	// Versions are the versions that may be loaded, newest last.
	Versions []string `json:"versions"`
	// Adapters are the adapters that may be loaded with the model.
	Adapters []string `json:"adapters,omitempty"`
	// Replicas is the minimum number of engines that hold the newest version.
	Replicas int `json:"replicas,omitempty"`
	// Context is the context length, the maximum number of tokens of a prompt and its answer together.
	Context int64 `json:"context"`
}
