// Package status describes how one host stands.
package status
