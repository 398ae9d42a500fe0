// Package modelspec describes the model that a route needs.
package modelspec
