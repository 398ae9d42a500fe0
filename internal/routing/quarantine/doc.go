// Package quarantine decides which parts of prompts no upstream may get, since upstreams end when they begin to answer them.
package quarantine
