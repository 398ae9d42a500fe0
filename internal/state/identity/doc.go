// Package identity identifies a control host together with the disk that holds its state.
package identity
