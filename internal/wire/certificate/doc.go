// Package certificate secures connections by files that may be replaced while they are in use.
package certificate
