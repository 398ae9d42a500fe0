// Package deputy grants the share of one failure domain in the teams' rates while the owner of their group can't be reached.
package deputy
