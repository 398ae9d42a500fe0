// Package accept takes connections of callers and notices when a caller has gone.
package listener
