// Package inlineitem describes an item that is submitted within its job.
package inlineitem
