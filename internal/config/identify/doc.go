// Package identify finds the team that a caller's key speaks for.
package identify
