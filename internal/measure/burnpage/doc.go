// Package burnpage shows a burn report as text and as a page.
package burnpage
