// Package disk reads, appends to and replaces the files of one data folder.
package disk
