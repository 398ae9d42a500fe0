package transport

import "strings"

// neverForwarded are the headers that belong to one connection, or that carry credentials.
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

// EndToEnd reports whether a header may pass between a caller and an upstream.
func EndToEnd(name string) bool {
	return !neverForwarded[strings.ToLower(name)]
}
