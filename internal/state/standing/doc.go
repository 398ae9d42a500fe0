// Package standing describes for operators how a replica group stands.
package standing
