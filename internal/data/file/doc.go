// Package file describes an uploaded batch file.
package file
