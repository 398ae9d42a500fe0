// Package quorum describes who votes in a replica group and who only learns.
package memberset
