// Package secret holds a shared secret that is redacted when printed.
package secret
