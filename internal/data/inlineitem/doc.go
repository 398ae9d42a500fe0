// Package inlineitem describes one item of a job that comes with its items.
package inlineitem
