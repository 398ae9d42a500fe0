package inlineitem

import "siskinrun/internal/data/itemline"

// Item is an item that is submitted within its job.
type Item struct {
	// Line is the request of the item.
	Line itemline.Line
	// MaxTokens is the maximum number of tokens that the item reads and generates.
	MaxTokens int64
}
