// Package verdict says whether a request may have run on an upstream.
package verdict
