// Package controldeps holds the dependencies of a dialect that serves upstreams and operators.
package controldeps
