// Package pathanswer describes what a host says of its paths to upstreams.
package pathanswer
