package joblisting

import "siskinrun/internal/data/jobresult"

// Listing is a part of the growing list of a job's results.
type Listing struct {
	// Total is the number of items of the job.
	Total int
	// Results are the results from the requested position.
	Results []jobresult.Result
}
