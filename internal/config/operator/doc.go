// Package operator answers the operators' requests over HTTP.
package operator
