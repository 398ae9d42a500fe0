// Package packet holds the messages of control hosts as they travel.
package packet
