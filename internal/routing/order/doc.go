// Package order describes the orders that a planner sends to engines.
package order
