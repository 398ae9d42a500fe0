// Package duration encodes durations as text such as 770ms.
package duration
