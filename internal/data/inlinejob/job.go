package inlinejob

import (
	"siskinrun/internal/data/inlineitem"
	"siskinrun/internal/data/route"
)

// Job is a batch job that comes with its items.
type Job struct {
	// ID is the owner's name for the job; a job is accepted once under it.
	ID string
	// Team owns the job.
	Team string
	// Route is the name of the route that the items use.
	Route string
	// Rule is that route.
	Rule route.Route
	// Items are the items in their order.
	Items []inlineitem.Item
}
