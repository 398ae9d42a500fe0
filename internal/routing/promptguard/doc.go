// Package promptguard keeps prompts that end upstreams away from them, and shares the evidence with other hosts.
package promptguard
