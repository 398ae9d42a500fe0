// Package memberstep describes one change of the members of a replica group.
package memberchange
