// Package answer describes the answer of an upstream.
package answer
