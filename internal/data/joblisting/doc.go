// Package joblisting describes a part of an inline job's growing list of results.
package joblisting
