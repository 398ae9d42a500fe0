// Package streamstart describes what began a stream.
package streamstart
