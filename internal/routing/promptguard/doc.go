// Package promptguard keeps calls that end upstreams away from them, and shares the evidence with other hosts.
package promptguard
