// Package span reads and writes durations as text such as 770ms.
package span
