// Package dialect describes wire formats that replace the default one.
package dialect
