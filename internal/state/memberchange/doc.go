// Package memberchange describes one membership change of a replica group.
package memberchange
