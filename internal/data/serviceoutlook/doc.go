// Package serviceoutlook describes what would become of a request at one service of its route.
package serviceoutlook
