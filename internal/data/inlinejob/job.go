package inlinejob

import (
	"siskinrun/internal/data/inlineitem"
	"siskinrun/internal/data/route"
)

// Job is a batch job that is submitted together with its items.
type Job struct {
	// ID is the owner's name for the job. Only one job is accepted under an ID.
	ID string
	// Team owns the job.
	Team string
	// Route is the name of the route that the items use.
	Route string
	// RouteConfig is the route itself.
	RouteConfig route.Route
	// Items are the items in their order.
	Items []inlineitem.Item
}
