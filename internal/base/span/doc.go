// Package span encodes durations as text such as 770ms.
package span
