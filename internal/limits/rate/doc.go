// Package rate implements the token bucket that a team's owner keeps; its tokens are called units.
package rate
