// Package joblisting describes the results of an inline job as they grow.
package joblisting
