// Package decision describes what was decided on one call, where and why.
package decision
