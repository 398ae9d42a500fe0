// Package provenance decides whether a message that came in place of an answer is the upstream's answer to the call.
package provenance
