// Package memberset describes the voters and learners of a replica group.
package memberset
