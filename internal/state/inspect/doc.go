// Package inspect checks the data folder of a control host that is stopped.
package inspect
