// Package explainer tells what a host would do with a request, without doing it.
package explainer
