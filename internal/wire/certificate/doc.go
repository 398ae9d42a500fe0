// Package certificate provides TLS configurations from files and reloads the files when they change.
package certificate
