// Package accounting logs and counts every finished call.
package accounting
