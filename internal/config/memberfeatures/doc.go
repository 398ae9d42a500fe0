// Package memberfeatures remembers which features of the replicated configuration the members of its group last reported.
package memberfeatures
