package file

import "time"

// Purpose is the only valid purpose of a file.
const Purpose = "batch"

// File is an uploaded file as its owner sees it.
type File struct {
	// ID identifies the file and the replica group that stores it.
	ID string `json:"id"`
	// Name is the name that the owner gave.
	Name string `json:"name"`
	// Purpose is what the file is for.
	Purpose string `json:"purpose"`
	// Bytes is the size in bytes.
	Bytes int64 `json:"bytes"`
	// Lines is the number of lines, each of which is an item.
	Lines int `json:"lines"`
	// Created is when the upload began.
	Created time.Time `json:"created"`
}
