// Package operatorapi serves the operators' HTTP API of a host.
package operatorapi
