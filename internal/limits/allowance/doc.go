// Package allowance tracks the grants of rate units that one host holds for one team and spends them.
package allowance
