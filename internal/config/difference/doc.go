// Package difference lists, for people, the fields in which two configurations differ.
package difference
