package keyauth

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/pkg/refusal"
)

const (
	bearerPrefix   = "bearer "
	maxSecretBytes = 512
	// retryNotFresh is short, since other hosts can tell at once.
	retryNotFresh = 100 * time.Millisecond
)

var (
	missingKey = refusal.NewNotRun(401, "missing-key", "send a key as Authorization: Bearer")
	unknownKey = refusal.NewNotRun(401, "unknown-key", "the key is not granted")
	notFresh   = refusal.NewNotRun(503, "not-fresh", "this host's configuration is not fresh: it cannot tell which keys are granted").
			WithRetryAfter(retryNotFresh)
)

// Authenticator holds the granted keys and notifies watchers when one is withdrawn.
type Authenticator struct {
	// Source provides the configuration in force and whether it is fresh.
	Source configSource
	// Scheme is the authentication scheme before the secret in the header, empty for bearer.
	Scheme string

	index   atomic.Pointer[index]
	mu      sync.Mutex
	watches map[key.Key]*watch
}

type configSource interface {
	Fresh() bool
	Subscribe(f func(*configuration.Configuration))
}

// index finds keys by the first eight bytes of their hash.
type index struct {
	// mapPointer identifies the indexed map, so that a version that shares it is not indexed again.
	mapPointer uintptr
	keys       map[uint64][]entry
}

type entry struct {
	hash [sha256.Size]byte
	key  key.Key
}

// watch holds a channel that is closed when its key is withdrawn or changed.
type watch struct {
	withdrawn chan struct{}
	count     int
}

// Start subscribes to the configuration and must be called once, before the first request.
func (a *Authenticator) Start() {
	a.watches = map[key.Key]*watch{}
	a.index.Store(&index{})
	a.Source.Subscribe(a.update)
}

// Key returns the granted key that an Authorization header presents, or a refusal.
func (a *Authenticator) Key(authorization []byte) (key.Key, error) {
	s := parseSecret(a.scheme(), authorization)
	if len(s) == 0 {
		return key.Key{}, missingKey
	}
	if !a.Source.Fresh() {
		return key.Key{}, notFresh.WithJitter()
	}
	h := sha256.Sum256(s)
	if e := a.index.Load().find(&h); e != nil {
		return e.key, nil
	}
	return key.Key{}, unknownKey
}

// Watch returns a channel that is closed once the key is withdrawn, and a function that ends the watch.
func (a *Authenticator) Watch(k key.Key) (withdrawn <-chan struct{}, cancel func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.watches[k]
	if w == nil {
		w = &watch{withdrawn: make(chan struct{})}
		if !a.index.Load().contains(k) {
			close(w.withdrawn)
			return w.withdrawn, func() {}
		}
		a.watches[k] = w
	}
	w.count++
	return w.withdrawn, sync.OnceFunc(func() { a.endWatch(k, w) })
}

func (a *Authenticator) endWatch(k key.Key, w *watch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w.count--
	if w.count == 0 && a.watches[k] == w {
		delete(a.watches, k)
	}
}

// update indexes the keys of a new version and closes the watches of keys that it no longer contains.
func (a *Authenticator) update(c *configuration.Configuration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	mapPointer := reflect.ValueOf(c.Keys).Pointer()
	if mapPointer != 0 && a.index.Load().mapPointer == mapPointer {
		return
	}
	x := newIndex(c.Keys)
	a.index.Store(x)
	for k, w := range a.watches {
		if !x.contains(k) {
			close(w.withdrawn)
			delete(a.watches, k)
		}
	}
}

func newIndex(m map[string]key.Key) *index {
	x := &index{mapPointer: reflect.ValueOf(m).Pointer(), keys: make(map[uint64][]entry, len(m))}
	for _, k := range m {
		h, ok := decodeHash(k.Hash)
		if !ok {
			continue
		}
		e := entry{hash: h, key: k}
		p := binary.BigEndian.Uint64(e.hash[:])
		x.keys[p] = append(x.keys[p], e)
	}
	return x
}

func (x *index) find(hash *[sha256.Size]byte) *entry {
	l := x.keys[binary.BigEndian.Uint64(hash[:])]
	for i := range l {
		if subtle.ConstantTimeCompare(l[i].hash[:], hash[:]) == 1 {
			return &l[i]
		}
	}
	return nil
}

// contains reports whether the key is granted with the same fields.
func (x *index) contains(k key.Key) bool {
	h, ok := decodeHash(k.Hash)
	if !ok {
		return false
	}
	e := x.find(&h)
	return e != nil && e.key == k
}

// decodeHash decodes a hexadecimal hash.
func decodeHash(hash string) (h [sha256.Size]byte, ok bool) {
	if len(hash) != hex.EncodedLen(len(h)) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(hash))
	return h, err == nil
}

func (a *Authenticator) scheme() string {
	if a.Scheme == "" {
		return bearerPrefix
	}
	return a.Scheme + " "
}

// parseSecret returns the secret in a header of the given scheme, or nil.
func parseSecret(scheme string, authorization []byte) []byte {
	if len(authorization) <= len(scheme) || len(authorization) > maxSecretBytes {
		return nil
	}
	if !strings.EqualFold(string(authorization[:len(scheme)]), scheme) {
		return nil
	}
	return bytes.TrimSpace(authorization[len(scheme):])
}
