// Package keyauth authenticates callers by their keys and reports the withdrawal of keys.
package keyauth
