// Package upstream describes a model engine or plain service that announced itself.
package upstream
