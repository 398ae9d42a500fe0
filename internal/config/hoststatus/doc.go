// Package hoststatus describes the configuration status of one host.
package hoststatus
