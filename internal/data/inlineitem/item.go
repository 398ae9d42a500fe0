package inlineitem

import "siskinrun/internal/data/itemline"

// Item is an item that is submitted within its job.
type Item struct {
	// Line is the request of the item.
	Line itemline.Line
	// Tokens is the maximum number of tokens that the item reads and generates.
	Tokens int64
}
