// Package allowance spends the grants that one host holds for one team.
package allowance
