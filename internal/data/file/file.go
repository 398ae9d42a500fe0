package file

import "time"

// Purpose is the only purpose that a file may have.
const Purpose = "batch"

// File is an uploaded file as its owner sees it.
type File struct {
	// ID names the file and the replica group that keeps it.
	ID string `json:"id"`
	// Name is the name that the owner gave.
	Name string `json:"name"`
	// Purpose is what the file is for.
	Purpose string `json:"purpose"`
	// Bytes is the size.
	Bytes int64 `json:"bytes"`
	// Lines is the number of items.
	Lines int `json:"lines"`
	// Created is when the upload began.
	Created time.Time `json:"created"`
}
