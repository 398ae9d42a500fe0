// Package view follows the versions of the configuration on one host.
package view
