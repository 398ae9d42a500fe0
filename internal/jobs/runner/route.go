package runner

import (
	"encoding/json"

	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemline"
)

// RouteOf returns the name of the route that takes the path of an item now. It returns an empty name for an inline item that no
// route for jobs takes, and the target of any other item for which there is none.
func (r *Runner) RouteOf(i item.Item) string {
	l := itemline.Line{}
	if err := json.Unmarshal(i.Line, &l); err != nil {
		return i.Target
	}
	n, ok := r.Router.RouteOf(r.call(i, l))
	switch {
	case ok:
		return n
	case l.Inline:
		return ""
	default:
		return i.Target
	}
}
