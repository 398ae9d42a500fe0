// Package ingress serves callers over HTTP in any dialect: it notices callers that leave and stops without cutting a call.
package ingress
