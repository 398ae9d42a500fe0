// Package dialect describes other wire formats than the product's own.
package dialect
