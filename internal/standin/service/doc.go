// Package service simulates a plain service that counts how often each request ran.
package service
