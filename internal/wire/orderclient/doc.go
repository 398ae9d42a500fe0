// Package orderclient reads the state of model engines and sends them orders over HTTP.
package orderclient
