// Package account logs and counts every finished call.
package accounting
