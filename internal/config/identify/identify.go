package identify

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
	bearer         = "bearer "
	maxSecretBytes = 512
	retryNotFresh  = 2 * time.Second
)

var (
	missingKey = refusal.NewNotRun(401, "missing-key", "show a key as Authorization: Bearer")
	unknownKey = refusal.NewNotRun(401, "unknown-key", "the key is not granted")
	notFresh   = refusal.NewNotRun(503, "not-fresh", "this host cannot tell at present which keys are granted").
			WithRetryAfter(retryNotFresh)
)

// Identify knows the granted keys and watches for their withdrawal.
type Identify struct {
	// Spread tells the configuration in force and whether it may be trusted.
	Spread spread
	// Scheme is the word before the secret in the header, empty for bearer.
	Scheme string

	index   atomic.Pointer[index]
	mu      sync.Mutex
	watched map[key.Key]*watch
}

type spread interface {
	Fresh() bool
	Subscribe(f func(*configuration.Configuration))
}

// index finds keys by the first bytes of their hash.
type index struct {
	source uintptr
	keys   map[uint64][]entry
}

type entry struct {
	hash [sha256.Size]byte
	key  key.Key
}

// watch is closed when its key is withdrawn.
type watch struct {
	gone  chan struct{}
	count int
}

// Start follows the configuration and must be called once, before the first request.
func (i *Identify) Start() {
	i.watched = map[key.Key]*watch{}
	i.index.Store(&index{})
	i.Spread.Subscribe(i.follow)
}

// Key returns the granted key of an Authorization header, or a refusal.
func (i *Identify) Key(authorization []byte) (key.Key, error) {
	s := secretOf(i.scheme(), authorization)
	if len(s) == 0 {
		return key.Key{}, missingKey
	}
	if !i.Spread.Fresh() {
		return key.Key{}, notFresh.WithSpread()
	}
	h := sha256.Sum256(s)
	if e := i.index.Load().find(&h); e != nil {
		return e.key, nil
	}
	return key.Key{}, unknownKey
}

// Watch returns a channel that is closed once a key is withdrawn, and a function that ends the watch.
func (i *Identify) Watch(k key.Key) (gone <-chan struct{}, cancel func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w := i.watched[k]
	if w == nil {
		w = &watch{gone: make(chan struct{})}
		if !i.index.Load().holds(k) {
			close(w.gone)
			return w.gone, func() {}
		}
		i.watched[k] = w
	}
	w.count++
	return w.gone, sync.OnceFunc(func() { i.leave(k, w) })
}

func (i *Identify) leave(k key.Key, w *watch) {
	i.mu.Lock()
	defer i.mu.Unlock()
	w.count--
	if w.count == 0 && i.watched[k] == w {
		delete(i.watched, k)
	}
}

// follow takes a new version and ends the watches of keys that it no longer holds.
func (i *Identify) follow(c *configuration.Configuration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	source := reflect.ValueOf(c.Keys).Pointer()
	if source != 0 && i.index.Load().source == source {
		return
	}
	x := newIndex(c.Keys)
	i.index.Store(x)
	for k, w := range i.watched {
		if !x.holds(k) {
			close(w.gone)
			delete(i.watched, k)
		}
	}
}

func newIndex(m map[string]key.Key) *index {
	x := &index{source: reflect.ValueOf(m).Pointer(), keys: make(map[uint64][]entry, len(m))}
	for _, k := range m {
		h, ok := digest(k.Hash)
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

// holds reports whether a key is granted unchanged.
func (x *index) holds(k key.Key) bool {
	h, ok := digest(k.Hash)
	if !ok {
		return false
	}
	e := x.find(&h)
	return e != nil && e.key == k
}

// digest reads a hexadecimal hash.
func digest(hash string) (h [sha256.Size]byte, ok bool) {
	if len(hash) != hex.EncodedLen(len(h)) {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(hash))
	return h, err == nil
}

func (i *Identify) scheme() string {
	if i.Scheme == "" {
		return bearer
	}
	return i.Scheme + " "
}

// secretOf returns the secret of a header that shows one under a scheme.
func secretOf(scheme string, authorization []byte) []byte {
	if len(authorization) <= len(scheme) || len(authorization) > maxSecretBytes {
		return nil
	}
	if !strings.EqualFold(string(authorization[:len(scheme)]), scheme) {
		return nil
	}
	return bytes.TrimSpace(authorization[len(scheme):])
}
