package keyauth_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/config/keyauth"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// fakeSource is a configuration source that the test controls.
type fakeSource struct {
	stale   bool
	update  func(*configuration.Configuration)
	current *configuration.Configuration
}

func (s *fakeSource) Fresh() bool { return !s.stale }

func (s *fakeSource) Subscribe(f func(*configuration.Configuration)) {
	s.update = f
	f(s.current)
}

func granted(keys ...key.Key) *configuration.Configuration {
	c := &configuration.Configuration{Version: 1, Keys: map[string]key.Key{}}
	for _, k := range keys {
		c.Keys[k.ID] = k
	}
	return c
}

func start(keys ...key.Key) (*fakeSource, *keyauth.Authenticator) {
	s := &fakeSource{current: granted(keys...)}
	i := &keyauth.Authenticator{Source: s}
	i.Start()
	return s, i
}

var one = key.Key{ID: "k-1", Team: "t", Hash: key.Hash("sk-one")}

func TestKey(t *testing.T) {
	for _, c := range []struct {
		header string
		stale  bool
		code   string
	}{
		{"Bearer sk-one", false, ""},
		{"bearer  sk-one ", false, ""},
		{"Bearer sk-two", false, "unknown-key"},
		{"Bearer sk-one", true, "not-fresh"},
		{"", true, "missing-key"},
		{"Bearer ", false, "missing-key"},
		{"Basic sk-one", false, "missing-key"},
	} {
		t.Run(c.header+c.code, func(t *testing.T) {
			is := is.New(t)
			s, i := start(one)
			s.stale = c.stale
			k, err := i.Key([]byte(c.header))
			if c.code == "" {
				is.NoErr(err)
				is.Equal(k, one)
				return
			}
			r := refusal.Of(err)
			is.Equal(r.Code, c.code)
			is.Equal(r.Verdict, verdict.NotRun)
			is.Equal(r.RetryAfter > 0, c.code == "not-fresh")
		})
	}
}

// Guards against streams that outlive the withdrawal or replacement of their key.
func TestWithdrawalEndsWatches(t *testing.T) {
	is := is.New(t)
	s, i := start(one)
	withdrawn, cancel := i.Watch(one)
	defer cancel()
	other, endOther := i.Watch(one)
	endOther()
	s.update(granted(one))
	select {
	case <-withdrawn:
		t.Fatal("the watch of a granted key was closed")
	default:
	}
	s.update(granted(key.Key{ID: "k-1", Team: "t", Hash: key.Hash("sk-new")}))
	<-withdrawn
	<-other
	_, err := i.Key([]byte("Bearer sk-one"))
	is.Equal(refusal.Of(err).Code, "unknown-key")
	late, end := i.Watch(one)
	defer end()
	<-late
}

func BenchmarkKey(b *testing.B) {
	var l []key.Key
	for n := range 10_000 {
		l = append(l, key.Key{ID: fmt.Sprint("k-", n), Team: "t", Hash: key.Hash(fmt.Sprint("sk-", n))})
	}
	_, i := start(l...)
	h := []byte("Bearer sk-7777")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := i.Key(h); err != nil {
			b.Fatal(err)
		}
	}
}
