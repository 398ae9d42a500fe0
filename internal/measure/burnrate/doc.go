// Package burnrate tracks in bounded memory how fast each team burns its error budget.
package burnrate
