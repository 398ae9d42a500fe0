// Package fair orders waiting work so that each team gets its weighted share.
package fair
