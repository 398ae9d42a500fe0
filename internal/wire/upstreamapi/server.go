package upstreamapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/httpserver"
	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
)

const (
	maxBodyBytes = 4 << 20
	readTimeout  = 10 * time.Second
	stopTimeout  = 2 * time.Second
)

// registry records the announcements, leaves and load reports of upstreams.
type registry interface {
	Announce(u upstream.Upstream) error
	Leave(name string, incarnation uint64) error
	Report(r loadreport.Report) error
}

// Server receives announcements, load reports, cache events and leaves of upstreams.
type Server struct {
	// Listener accepts the connections of upstreams.
	Listener net.Listener
	// TLS, if set, is the TLS configuration of the connections.
	TLS *tls.Config
	// Secret is the bearer token shared by the upstreams of the fleet; if it is empty, all upstreams are trusted.
	Secret []byte
	// Registry receives announcements, leaves and load reports.
	Registry registry
	// Cache receives cache events.
	Cache func(e cache.Event)
	// Log receives refused messages.
	Log zerolog.Logger
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	l := s.Listener
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	v := &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxBodyBytes,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	w := &httpserver.Server{Server: v, Listener: l, StopTimeout: stopTimeout}
	return w.Run(ctx)
}

func (s *Server) handle(x *fasthttp.RequestCtx) {
	if !s.authorized(x) {
		writeError(x, fasthttp.StatusUnauthorized, "unknown-secret", errors.New("the secret is missing or wrong"))
		return
	}
	if !x.IsPost() {
		writeError(x, fasthttp.StatusMethodNotAllowed, "method-not-allowed", errors.New("the method must be POST"))
		return
	}
	f := s.handler(string(x.Path()))
	if f == nil {
		writeError(x, fasthttp.StatusNotFound, "unknown-path", errors.New("no endpoint exists at this path"))
		return
	}
	if err := f(x.PostBody()); err != nil {
		s.Log.Warn().Err(err).Str("path", string(x.Path())).Msg("upstream message refused")
		writeError(x, fasthttp.StatusBadRequest, "bad-message", err)
		return
	}
	x.SetStatusCode(fasthttp.StatusNoContent)
}

// handler returns the handler of a path, or nil.
func (s *Server) handler(path string) func([]byte) error {
	switch path {
	case "/v1/upstreams/announce":
		return s.announce
	case "/v1/upstreams/leave":
		return s.leave
	case "/v1/upstreams/load":
		return s.load
	case "/v1/upstreams/cache-events":
		return s.events
	}
	return nil
}

func (s *Server) authorized(x *fasthttp.RequestCtx) bool {
	if len(s.Secret) == 0 {
		return true // the settings trust every host on the network
	}
	h, ok := strings.CutPrefix(string(x.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	want := sha256.Sum256(s.Secret)
	got := sha256.Sum256([]byte(h))
	return subtle.ConstantTimeCompare(want[:], got[:]) == 1 && ok
}

func (s *Server) announce(b []byte) error {
	u, err := decode[upstream.Upstream](b)
	if err != nil {
		return err
	}
	if err := validate(u); err != nil {
		return err
	}
	if u.Version == "" {
		u.Version = upstream.Unversioned
	}
	return s.Registry.Announce(u)
}

func (s *Server) leave(b []byte) error {
	u, err := decode[upstream.Upstream](b)
	if err != nil {
		return err
	}
	if u.Name == "" {
		return errors.New("the field name is missing")
	}
	return s.Registry.Leave(u.Name, u.Incarnation)
}

func (s *Server) load(b []byte) error {
	r, err := decode[loadreport.Report](b)
	if err != nil {
		return err
	}
	if r.Upstream == "" || r.Running < 0 || r.Waiting < 0 || r.Age < 0 || r.Pace < 0 {
		return errors.New("the report names no upstream or has a negative value")
	}
	r.Pace = loadreport.BoundPace(r.Pace)
	return s.Registry.Report(r)
}

func (s *Server) events(b []byte) error {
	e, err := decode[cache.Event](b)
	if err != nil {
		return err
	}
	if e.Upstream == "" {
		return errors.New("the field upstream is missing")
	}
	s.Cache(e)
	return nil
}
