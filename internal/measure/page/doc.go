// Package page writes HTML pages that hold all they need.
package page
