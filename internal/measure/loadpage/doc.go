// Package loadpage renders the summaries of one or more load runs side by side, as text and as an HTML page.
package loadpage
