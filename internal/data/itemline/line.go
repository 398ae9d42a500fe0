package itemline

import "encoding/json"

// Line is the input of one batch item as it is stored.
type Line struct {
	// CustomID is the owner's name for the item.
	CustomID string `json:"custom_id"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// URL is the path that the item calls.
	URL string `json:"url"`
	// Body is the body of an item that sends JSON.
	Body json.RawMessage `json:"body,omitempty"`
	// Host is the host name of the request, or empty.
	Host string `json:"host,omitempty"`
	// Headers are the headers of an inline item as pairs of name and value.
	Headers [][2]string `json:"headers,omitempty"`
	// Parts are the hashes of the parts of the item's prompt that other calls may share.
	Parts []uint64 `json:"parts,omitempty"`
	// Raw is the body of an inline item.
	Raw []byte `json:"raw,omitempty"`
	// Inline marks an item that was submitted within its job. Its runs are identified by the owner's name for it.
	Inline bool `json:"inline,omitempty"`
}
