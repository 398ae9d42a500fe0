// Command stage-3 starts a small deployment of real processes with stand-ins around it, and plays one case of the review.
package main
