// Package capacity shares the slots of each service fairly between the teams that call it on a host.
package capacity
