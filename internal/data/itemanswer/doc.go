// Package itemanswer describes the answer to a batch item.
package itemanswer
