// Package inspect verifies the data folder of a stopped control host.
package inspect
