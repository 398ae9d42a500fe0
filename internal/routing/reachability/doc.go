// Package reachability decides by which path a host connects to each upstream: by itself, or through a gateway, which is
// another host that reaches the upstream.
package reachability
