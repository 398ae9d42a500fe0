// Package grant moves rate units between the owners of teams' buckets and the hosts that spend them.
package grant
