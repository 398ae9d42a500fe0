// Package timer tells the time and calls its subscribers when it passes.
package timer
