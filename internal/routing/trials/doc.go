// Package trials decides which host may send the one call that is under way with a suspected trait.
package trials
