// Package upstream describes an announced model engine or plain service.
package upstream
