package transport

import "strings"

// neverForwarded holds the headers that belong to one connection, carry credentials or are set by this host.
var neverForwarded = map[string]bool{
	"authorization":       true,
	"connection":          true,
	"content-length":      true,
	"cookie":              true,
	"expect":              true,
	"host":                true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"x-api-key":           true,
	"siskin-request-id":   true,
	"last-event-id":       true,
}

// EndToEnd reports whether a header may be forwarded between a caller and an upstream.
func EndToEnd(name string) bool {
	return !neverForwarded[strings.ToLower(name)]
}
