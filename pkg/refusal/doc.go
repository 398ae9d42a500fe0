// Package refusal provides the error of a request that got no answer. It says whether the request may have run.
package refusal
