// Package admit lets requests in as far as the rate and burst of their team allow.
package admit
