package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/configstore"
	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/hoststatus"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/data/key"
	"siskinrun/internal/product/command"
)

const operatorSecret = "for-development-only-kowhai-operator"

// fakeFleet serves the operators' requests of a fleet from one configuration store, without replication.
type fakeFleet struct {
	*configstore.Store
}

func (f fakeFleet) Propose(_ context.Context, _ uint32, command []byte) ([]byte, error) {
	return f.Apply(0, command), nil
}

func (f fakeFleet) Fresh() bool                         { return true }
func (f fakeFleet) Await(context.Context, uint64) error { return nil }
func (f fakeFleet) Hosts(context.Context) []hoststatus.Status {
	return []hoststatus.Status{{Host: "nz-a-1"}}
}

func (f fakeFleet) Versions(_ context.Context, limit int) ([]revision.Revision, error) {
	return f.Store.Versions(limit), nil
}

func (f fakeFleet) Diff(_ context.Context, from, to uint64) ([]difference.Difference, error) {
	return f.Store.Diff(from, to)
}

// startStore serves a configuration store and returns it, with a function that runs a command against it and returns the
// exit status and output.
func startStore(t *testing.T) (*configstore.Store, func(args ...string) (int, string)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := fakeFleet{configstore.NewStore()}
	o := &operatorapi.Server{Listener: l, Secret: []byte(operatorSecret), Configuration: r, Client: r, Timer: timer.NewService()}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("operator", o.Run)
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	flags := []string{"--base", "../../../examples/kowhai/base.jsonc",
		"--overlay", "../../../examples/kowhai/nz-south.jsonc", "--address", l.Addr().String()}
	return r.Store, func(args ...string) (int, string) {
		var b bytes.Buffer
		c := command.NewCommand()
		c.Out, c.Err = &b, &b
		f := flags
		if args[0] == "check" {
			f = flags[:4]
		}
		n := c.Run(append(args, f...))
		return n, b.String()
	}
}

func TestCommands(t *testing.T) {
	r, run := startStore(t)
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"diff", 0, "teams.kaiapoi-handrails: nothing -> {\"rate\":200"},
		{"apply --change-id one --by me", 0, "change one: applied, made version 1"},
		{"apply --change-id one", 0, "change one: applied, made version 1"},
		{"team set waikato-bending --rate 9 --burst 9 --change-id two", 0, "made version 2"},
		{"diff", 0, "teams.waikato-bending.rate: 9 -> 4000"},
		{"diff --from 1 --to 2", 0, "teams.waikato-bending.rate: 4000 -> 9"},
		{"team set waikato-bending --rate 8 --burst 9 --base-version 1", 1, "version 2 by"},
		{"team set waikato-bending --rate 8 --burst 9 --change-id two", 1, "id-reused"},
		{"team set waikato-bending --rate 0 --burst 9", 1, "teams.waikato-bending.rate: is 0"},
		{"team list", 0, "kaiapoi-handrails    200"},
		{"key grant waikato-bending --id k-1", 0, "key k-1 of team waikato-bending: sk-"},
		{"team remove waikato-bending", 1, "keys.k-1.team"},
		{"key list", 0, "k-1  waikato-bending"},
		{"key withdraw k-1", 0, "made version 4"},
		{"roll-back 1", 0, "made version 5"},
		{"versions --most 2", 0, "roll-back"},
		{"status", 0, "nz-a-1"},
		{"check --secrets", 0, "\"site\": \"nz-south\""},
		{"team set", 2, "required flag"},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			n, out := run(strings.Fields(c.args)...)
			is.Equal(n, c.code)
			if !strings.Contains(out, c.want) {
				t.Errorf("%q does not contain %q", out, c.want)
			}
			is.True(!strings.Contains(out, operatorSecret))
		})
	}
	is := is.New(t)
	is.Equal(r.View().Teams["waikato-bending"].Rate, int64(4000))
	is.Equal(len(r.View().Keys), 0)
}

// TestGrantIsRepeatable sends a grant twice with the same change ID and secret file. The second must print the same
// secret, and no second version may be made.
func TestGrantIsRepeatable(t *testing.T) {
	is := is.New(t)
	r, run := startStore(t)
	n, _ := run("apply")
	is.Equal(n, 0)
	f := filepath.Join(t.TempDir(), "secret")
	for range 2 {
		n, out := run("key", "grant", "waikato-bending", "--change-id", "g", "--secret-file", f, "--json")
		is.Equal(n, 0)
		var a struct{ Status, Secret string }
		is.NoErr(json.Unmarshal([]byte(out), &a))
		b, err := os.ReadFile(f)
		is.NoErr(err)
		is.Equal(a.Secret, strings.TrimSpace(string(b)))
		is.Equal(r.View().Keys["key-g"].Hash, key.Hash(a.Secret))
	}
	is.Equal(r.View().Version, uint64(2))
}
