package submission

import "time"

// Submission asks for a job.
type Submission struct {
	// File is the input file.
	File string `json:"file"`
	// Endpoint is the path that each item calls.
	Endpoint string `json:"endpoint"`
	// Key is the caller's idempotency key, or empty to go by the contents.
	Key string `json:"key,omitempty"`
	// Window is the time in which the job must end, or zero for the default.
	Window time.Duration `json:"window,omitempty"`
	// Metadata is kept with the job.
	Metadata map[string]string `json:"metadata,omitempty"`
}
