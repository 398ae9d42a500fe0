// Package slotrequest describes a call that asks for a slot of its service.
package slotrequest
