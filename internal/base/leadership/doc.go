// Package leadership describes the leadership of a host over a replica group.
package leadership
