// Package difference lists the fields in which two configurations differ, for operators to read.
package difference
