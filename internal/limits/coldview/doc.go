// Package coldview keeps which upstreams are cold and how many requests they bear meanwhile.
package coldview
