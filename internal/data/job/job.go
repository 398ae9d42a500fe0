package job

import "time"

const (
	// Running is the state of a job with unfinished items.
	Running = "in-progress"
	// Cancelling is the state of a job whose running items are being stopped.
	Cancelling = "cancelling"
	// Cancelled is the state of a job that was cancelled and has stopped.
	Cancelled = "cancelled"
	// Completed is the state of a job whose items have all ended.
	Completed = "completed"
	// Expired is the state of a job that ended with its window.
	Expired = "expired"
)

// Job is a batch job as its owner sees it.
type Job struct {
	// ID identifies the job and the replica group that stores it.
	ID string `json:"id"`
	// Team owns the job.
	Team string `json:"team"`
	// File is the input file.
	File string `json:"file"`
	// Endpoint is the path that each item calls.
	Endpoint string `json:"endpoint"`
	// Target is the model or path prefix that selects the upstreams.
	Target string `json:"target"`
	// Repeatable means that an item may run more than once.
	Repeatable bool `json:"repeatable"`
	// State is one of the constants of this package.
	State string `json:"state"`
	// Total is the number of items.
	Total int `json:"total"`
	// Completed is the number of items with an answer.
	Completed int `json:"completed"`
	// Failed is the number of items that ended in an error.
	Failed int `json:"failed"`
	// MayHaveRun is the number of items whose outcome will stay unknown.
	MayHaveRun int `json:"may-have-run"`
	// Cancelled is the number of items that were unfinished when the job ended.
	Cancelled int `json:"cancelled"`
	// Leased is the number of items that are leased to hosts.
	Leased int `json:"leased"`
	// ResultBytes is the size of the stored results in bytes.
	ResultBytes int64 `json:"result-bytes"`
	// Created is when the job was accepted.
	Created time.Time `json:"created"`
	// Deadline is when the job's window ends.
	Deadline time.Time `json:"deadline"`
	// Finished is when the last item ended, or zero.
	Finished time.Time `json:"finished,omitzero"`
	// Metadata holds the owner's metadata.
	Metadata map[string]string `json:"metadata,omitempty"`
}

// Ended reports whether the job has reached a final state.
func (j Job) Ended() bool {
	return j.State == Completed || j.State == Cancelled || j.State == Expired
}
