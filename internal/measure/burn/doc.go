// Package burn counts in bounded memory how fast each team's error budget burns.
package burn
