// Package queuestate describes the slots of a service and what a request that asks for one would get.
package queuestate
