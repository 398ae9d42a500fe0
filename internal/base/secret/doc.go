// Package secret holds bytes that must not be printed.
package secret
