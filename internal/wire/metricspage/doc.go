// Package metricspage shows the metrics of a host as text.
package metricspage
