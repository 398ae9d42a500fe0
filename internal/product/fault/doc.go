// Package fault collects what is wrong with settings, so that all of it is told at once.
package fault
