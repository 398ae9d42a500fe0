// Package burnpage renders a burn report as text and as an HTML page.
package burnpage
