// Package award describes the answer of a bucket's owner to an ask.
package award
