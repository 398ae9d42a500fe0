// Package lane lets calls wait in order of rank and time while all upstreams of their service are at their rate limits.
package lane
