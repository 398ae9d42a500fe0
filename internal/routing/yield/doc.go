// Package yield decides how much batch work an engine may run beside its online requests.
package yield
