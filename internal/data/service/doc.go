// Package service describes the properties shared by the upstreams of one service.
package service
