// Package jsonc parses JSON with comments, merges and decodes it, and keeps the file and line of each value.
package jsonc
