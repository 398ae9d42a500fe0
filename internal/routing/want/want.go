package want

import "strings"

// Want is one model and adapter behind a route, in the version that is to be served.
type Want struct {
	// Route names the route that asks.
	Route string `json:"route"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Version is the version that is to be served.
	Version string `json:"version"`
	// Serving is the version that routes use at the time when planning begins, or empty.
	Serving string `json:"serving,omitempty"`
	// Adapter is the adapter beside the model, or empty.
	Adapter string `json:"adapter,omitempty"`
	// Least is the least number of engines that hold it.
	Least int `json:"least,omitempty"`
	// Slots is the demand in requests that run at the same time.
	Slots float64 `json:"slots"`
	// PrefillShare is the share of the computing that prompts take.
	PrefillShare float64 `json:"prefill-share,omitempty"`
}

// Name returns the name that is the same for all versions.
func (w Want) Name() string {
	if w.Adapter == "" {
		return w.Model
	}
	return w.Model + "+" + w.Adapter
}

// At returns the name under which engines announce the given version.
func (w Want) At(version string) string {
	if w.Adapter == "" {
		return w.Model + "@" + version
	}
	return w.Model + "@" + version + "+" + w.Adapter
}

// Unversioned strips the version from model@version or model@version+adapter.
func Unversioned(s string) string {
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
