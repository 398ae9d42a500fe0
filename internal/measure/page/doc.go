// Package page writes self-contained HTML pages.
package page
