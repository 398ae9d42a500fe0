package inlineitem

import "siskinrun/internal/data/itemline"

// Item is one item that comes with its job.
type Item struct {
	// Line is what the item sends.
	Line itemline.Line
	// Tokens is the most that the item reads and generates.
	Tokens int64
}
