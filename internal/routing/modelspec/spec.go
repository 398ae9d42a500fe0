package modelspec

import "strings"

// Spec is the model and adapter that a route needs, with the version to serve.
type Spec struct {
	// Route is the name of the route.
	Route string `json:"route"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the version to serve.
	Version string `json:"version"`
	// Serving is the version that the route uses when planning starts, or empty.
	Serving string `json:"serving,omitempty"`
	// Adapter is the name of the adapter on the model, or empty.
	Adapter string `json:"adapter,omitempty"`
	// MinEngines is the minimum number of engines that hold the model.
	MinEngines int `json:"least,omitempty"`
	// Slots is the demand in concurrent requests.
	Slots float64 `json:"slots"`
	// PrefillShare is the share of the computation that goes to prompts.
	PrefillShare float64 `json:"prefill-share,omitempty"`
}

// Name returns the name of the model and adapter without a version.
func (w Spec) Name() string {
	if w.Adapter == "" {
		return w.Model
	}
	return w.Model + "+" + w.Adapter
}

// VersionedName returns the name under which engines announce the given version.
func (w Spec) VersionedName(version string) string {
	if w.Adapter == "" {
		return w.Model + "@" + version
	}
	return w.Model + "@" + version + "+" + w.Adapter
}

// StripVersion removes the version from model@version or model@version+adapter.
func StripVersion(s string) string {
	model, rest, ok := strings.Cut(s, "@")
	if !ok {
		return s
	}
	_, adapter, ok := strings.Cut(rest, "+")
	if !ok {
		return model
	}
	return model + "+" + adapter
}
