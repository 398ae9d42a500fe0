// Package loadpage shows the summaries of load runs as pages, one alone or several side by side.
package loadpage
