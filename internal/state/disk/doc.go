// Package disk reads and writes the files of one data folder.
package disk
