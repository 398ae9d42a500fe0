// Package bulletin describes what one host tells another about the configuration.
package bulletin
