// Package want describes a model that routes ask for.
package want
