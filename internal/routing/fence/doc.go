// Package fence decides when the holder of a lease may send orders to an engine.
package fence
