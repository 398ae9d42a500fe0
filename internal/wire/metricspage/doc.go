// Package metricspage serves the metrics of a host as text over HTTP.
package metricspage
