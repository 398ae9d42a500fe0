package operatorclient_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/answerhead"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/hoststatus"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/team"
	"siskinrun/pkg/refusal"
)

const operatorSecret = "a-secret-of-the-operators"

// replica is a configuration store whose first answers are lost.
type replica struct {
	store *configstore.Store
	lose  int
	sent  [][]byte
}

func (r *replica) Propose(_ context.Context, _ uint32, command []byte) ([]byte, error) {
	r.sent = append(r.sent, command)
	b := r.store.Apply(0, command)
	if r.lose > 0 {
		r.lose--
		return nil, refusal.NewMayHaveRun(504, "leader-lost", "the answer was lost")
	}
	return b, nil
}

func (r *replica) View() *configuration.Configuration        { return r.store.View() }
func (r *replica) Fresh() bool                               { return true }
func (r *replica) Await(context.Context, uint64) error       { return nil }
func (r *replica) Hosts(context.Context) []hoststatus.Status { return nil }
func (r *replica) Versions(_ context.Context, limit int) ([]revision.Revision, error) {
	return r.store.Versions(limit), nil
}

func (r *replica) Diff(_ context.Context, from, to uint64) ([]difference.Difference, error) {
	return r.store.Diff(from, to)
}

func start(t *testing.T, lose int) (*operatorclient.Client, *replica, *strings.Builder) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	r := &replica{store: configstore.NewStore(), lose: lose}
	s := timer.NewService()
	log := &strings.Builder{}
	o := &operatorapi.Server{Name: "h", Listener: l, Secret: []byte(operatorSecret), Configuration: r, Client: r,
		Timer: s, Log: zerolog.New(zerolog.SyncWriter(log))}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", s.Run)
	g.Go("operator", o.Run)
	t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
	})
	c := &operatorclient.Client{Addresses: []string{closed.Addr().String(), l.Addr().String()},
		Secret: []byte(operatorSecret), Timer: s, Timeout: 10 * time.Second}
	return c, r, log
}

func setTeam(id string, base uint64) *change.Change {
	return &change.Change{ID: id, Base: base, By: "me", Kind: change.SetTeam, Name: "t",
		Team: &team.Team{Rate: 1, Burst: 1, Weight: 1}}
}

// Guards against a change that is applied twice when its answer is lost and the client retries.
func TestLostResponseIsRetried(t *testing.T) {
	is := is.New(t)
	c, r, _ := start(t, 2)
	o, err := c.SendChange(context.Background(), setTeam("one", 0))
	is.NoErr(err)
	is.Equal(o.Status, changeoutcome.Applied)
	is.Equal(o.Version, uint64(1))
	is.Equal(r.store.View().Version, uint64(1))
	is.Equal(len(r.sent), 3)
}

func TestConflictAndRefusals(t *testing.T) {
	is := is.New(t)
	c, _, _ := start(t, 0)
	ctx := context.Background()
	_, err := c.SendChange(ctx, setTeam("one", 0))
	is.NoErr(err)
	o, err := c.SendChange(ctx, setTeam("two", 0))
	is.NoErr(err)
	is.Equal(o.Status, changeoutcome.Conflict)
	is.Equal(o.Conflicts[0].By, "me")
	_, err = c.SendChange(ctx, &change.Change{ID: "three", Kind: "paint"})
	is.True(err != nil && strings.Contains(err.Error(), "bad-change"))
	l, err := c.Get(ctx, "/v1/versions?most=5")
	is.NoErr(err)
	is.Equal(len(l.Revisions), 1)
	_, err = c.Get(ctx, "/v1/nothing")
	is.True(err != nil && strings.Contains(err.Error(), "unknown-path"))
	c.Secret = []byte("another-secret-of-someone")
	_, err = c.Get(ctx, "/v1/teams")
	is.True(err != nil && strings.Contains(err.Error(), "unknown-operator"))
}

// Guards against a key secret that is stored, logged or returned a second time.
func TestGrantReturnsSecretOnce(t *testing.T) {
	is := is.New(t)
	c, r, log := start(t, 0)
	ctx := context.Background()
	_, err := c.SendChange(ctx, setTeam("one", 0))
	is.NoErr(err)
	body := []byte(`{"change-id":"two","base":1,"id":"k","team":"t"}`)
	b, err := c.Do(ctx, "POST", "/v1/keys", body)
	is.NoErr(err)
	var a struct {
		Status, Secret string
	}
	is.NoErr(json.Unmarshal(b, &a))
	is.Equal(a.Status, changeoutcome.Applied)
	is.Equal(r.store.View().Keys["k"].Hash, key.Hash(a.Secret))
	_, err = c.Do(ctx, "POST", "/v1/keys", body)
	is.True(err != nil)
	is.Equal(len(r.store.View().Keys), 1)
	l, err := c.Get(ctx, "/v1/keys?team=t")
	is.NoErr(err)
	is.Equal(l.Keys[0].ID, "k")
	for _, s := range append(r.sent, []byte(log.String())) {
		is.True(!strings.Contains(string(s), a.Secret))
		is.True(!strings.Contains(string(s), operatorSecret))
	}
}

// malformedHeads are answers of status 200 whose heads break the grammar of HTTP.
var malformedHeads = []string{
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	"HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// TestAnswerWithAMalformedHeadIsNotTheHosts guards against a listing or outcome that is read from an answer with a malformed head.
func TestAnswerWithAMalformedHeadIsNotTheHosts(t *testing.T) {
	for _, answer := range malformedHeads {
		t.Run(answer, func(t *testing.T) {
			is := is.New(t)
			c, r, _ := start(t, 0)
			bad := answerWith(t, answer)
			_, err := (&operatorclient.Client{Addresses: []string{bad}, Timer: c.Timer, Timeout: time.Millisecond}).Do(t.Context(), "GET", "/v1/hosts", nil)
			is.True(answerhead.Rejects(err)) // the error says why
			c.Addresses = []string{bad, c.Addresses[1]}
			o, err := c.SendChange(t.Context(), setTeam("one", 0))
			is.NoErr(err)
			is.Equal(o.Status, changeoutcome.Applied)
			is.Equal(len(r.sent), 1) // by the other host
		})
	}
}

// answerWith starts a host that gives each request the same answer, and returns its address.
func answerWith(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	g := group.NewGroup(t.Context())
	g.Go("host", func(context.Context) error {
		for {
			k, err := l.Accept()
			if err != nil {
				return nil
			}
			_, _ = k.Read(make([]byte, 4<<10))
			_, _ = k.Write([]byte(answer))
			_ = k.Close()
		}
	})
	return l.Addr().String()
}
