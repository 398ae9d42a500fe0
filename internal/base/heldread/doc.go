// Package heldread reads bodies into buffers whose memory is reserved before they are filled.
package heldread
