// Package service describes what all upstreams of one name have in common.
package service
