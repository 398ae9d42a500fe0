package requestdigest

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"siskinrun/internal/data/call"
)

// Of returns the digest of a call's host, path with query, team and body. It is cut from a cryptographic hash, so that nobody
// can make a request with the digest of another one.
func Of(c *call.Call) uint64 {
	h := sha256.New()
	for _, s := range []string{strings.ToLower(c.Host), c.Path, c.Team} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s)))) // a hash write never fails
		_, _ = h.Write([]byte(s))
	}
	_, _ = h.Write(c.Body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}
