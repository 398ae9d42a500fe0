// Package drain decides which calls a stopping host still takes.
package drain
