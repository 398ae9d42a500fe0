package submission

import "time"

// Submission is a request to create a job.
type Submission struct {
	// File is the input file.
	File string `json:"file"`
	// Endpoint is the path that each item calls.
	Endpoint string `json:"endpoint"`
	// Key is the caller's idempotency key, or empty to derive it from the contents.
	Key string `json:"key,omitempty"`
	// Window is the time within which the job must end, or zero for the default.
	Window time.Duration `json:"window,omitempty"`
	// Metadata is stored with the job.
	Metadata map[string]string `json:"metadata,omitempty"`
}
