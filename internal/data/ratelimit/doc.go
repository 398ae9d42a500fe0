// Package ratelimit describes the request rate that an upstream names with its answers.
package ratelimit
