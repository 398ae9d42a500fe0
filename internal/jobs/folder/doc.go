// Package folder keeps the contents of batch files and results on disk.
package folder
