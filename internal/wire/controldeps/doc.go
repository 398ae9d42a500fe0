// Package controlparts holds what a dialect needs to serve upstreams and operators.
package controldeps
