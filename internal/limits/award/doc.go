// Package award defines the answer of a bucket's owner to an ask; refill.Award is its wire form.
package award
