// Package limitview keeps what one host knows of the rate limits that upstreams name.
package limitview
