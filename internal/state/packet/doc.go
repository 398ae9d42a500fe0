// Package packet holds the Protocol Buffers messages that control hosts exchange.
package packet
