// Package control runs the replica groups of a control host.
package control
