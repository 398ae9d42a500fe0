// Package capacity shares the slots of each service between the teams of a host.
package capacity
