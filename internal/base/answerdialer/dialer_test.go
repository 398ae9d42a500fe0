package answerdialer_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/answerdialer"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/headgrammar"
)

const (
	soundAnswer = "HTTP/1.1 200 OK\r\nX-Odd: \xff\r\nContent-Length: 3\r\n\r\nabc"
	testTimeout = 5 * time.Second
)

// startServer starts a server that gives the requests of each connection the answers in turn, and returns its address.
func startServer(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	group.NewGroup(t.Context()).Go("server", func(context.Context) error {
		for {
			k, err := l.Accept()
			if err != nil {
				return nil
			}
			for _, a := range answers {
				_, _ = k.Read(make([]byte, 4<<10))
				_, _ = k.Write([]byte(a))
			}
			_ = k.Close()
		}
	})
	return l.Addr().String()
}

// newClient returns an HTTP client that connects by a dialer and does not retry.
func newClient(d *answerdialer.Dialer) *fasthttp.Client {
	return &fasthttp.Client{MaxIdemponentCallAttempts: 1, Dial: func(a string) (net.Conn, error) { return d.Dial(context.Background(), a) }}
}

// TestClientsReadSoundAnswersOnly guards against malformed heads that a client takes, on a new connection and on one in use, and
// against bodies and sound heads that are taken for malformed ones.
func TestClientsReadSoundAnswersOnly(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n\r\n"
	malformed := strings.Replace(soundAnswer, "X-Odd", "X Odd", 1)
	for _, c := range []struct {
		name    string
		answers []string
		fault   bool
	}{
		{"sound", []string{soundAnswer, soundAnswer}, false},
		{"interim", []string{interim + interim + soundAnswer, soundAnswer}, false},
		{"a body like a malformed head", []string{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nX Odd: 1\r\n\r\nX Odd : ", soundAnswer}, false},
		{"second answer malformed", []string{soundAnswer, malformed}, true},
		{"second interim answer malformed", []string{soundAnswer, interim + strings.Replace(interim, "X-Odd", "X-Odd ", 1) + soundAnswer}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var rejected error
			h := newClient(&answerdialer.Dialer{Timeout: testTimeout, Rejected: func(err error) { rejected = err }})
			u := "http://" + startServer(t, c.answers...)
			_, _, err := h.GetTimeout(nil, u, testTimeout)
			is.NoErr(err)
			s, b, err := h.GetTimeout(nil, u, testTimeout)
			var f *headgrammar.Fault
			is.Equal(errors.As(rejected, &f), c.fault)
			is.Equal(err != nil, c.fault)
			if !c.fault {
				is.Equal(s, http.StatusOK)
				is.Equal(string(b), "abc")
			}
		})
	}
}

// TestHeadsBehindTLSAreChecked guards against answers that pass unchecked because their connection uses TLS.
func TestHeadsBehindTLSAreChecked(t *testing.T) {
	name := "X-Odd"
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		k, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = k.Write([]byte(strings.Replace(soundAnswer, "X-Odd", name, 1)))
			_ = k.Close()
		}
	}))
	defer s.Close()
	trusted := s.Client().Transport.(*http.Transport).TLSClientConfig
	h := newClient(&answerdialer.Dialer{TLS: trusted, Timeout: testTimeout})
	is := is.New(t)
	_, b, err := h.GetTimeout(nil, s.URL, testTimeout)
	is.NoErr(err)
	is.Equal(string(b), "abc")
	name = "X Odd"
	var rejected error
	d := &answerdialer.Dialer{TLS: trusted, Rejected: func(err error) { rejected = err }}
	_, _, err = newClient(d).GetTimeout(nil, s.URL, testTimeout)
	var f *headgrammar.Fault
	is.True(err != nil)
	is.True(errors.As(rejected, &f))
	_, _, err = newClient(&answerdialer.Dialer{TLS: &tls.Config{MinVersion: tls.VersionTLS12}}).GetTimeout(nil, s.URL, testTimeout)
	is.True(err != nil) // the certificate is not trusted
}
