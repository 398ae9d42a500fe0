// Package itemanswer describes the answer that a batch item gets.
package itemanswer
