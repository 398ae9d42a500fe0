package command

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/secret"
	"siskinrun/internal/data/submission"
	"siskinrun/internal/jobs/batchclient"
)

const (
	batchTimeout = 10 * time.Minute
	batchListed  = "20"
	keyVariable  = "SISKIN_KEY"
)

func init() {
	subcommands = append(subcommands, addBatch)
}

// caller are the flags of commands that speak to a fleet as a team.
type caller struct {
	address string
	keyFile string
	timeout time.Duration
}

func (f *caller) add(c *kingpin.CmdClause) {
	c.Flag("url", "URL of the callers' address.").Envar("SISKIN_URL").Required().StringVar(&f.address)
	c.Flag("key-file", "File with the team's key, instead of the variable "+keyVariable+".").StringVar(&f.keyFile)
	c.Flag("timeout", "Longest time of a request.").Default(batchTimeout.String()).DurationVar(&f.timeout)
}

func (f *caller) client() (*batchclient.Client, error) {
	c := &batchclient.Client{Address: f.address, Timeout: f.timeout}
	if f.keyFile == "" {
		c.Key = secret.Secret(os.Getenv(keyVariable))
	} else {
		k, err := secret.Read(f.keyFile)
		if err != nil {
			return nil, err
		}
		c.Key = k
	}
	if len(c.Key) == 0 {
		return nil, errors.New("no key: give --key-file or set " + keyVariable)
	}
	return c, nil
}

// submitFlags are the flags of the subcommand submit.
type submitFlags struct {
	caller
	submission.Submission
	path string
}

// addBatch adds the subcommands that submit, follow and end batch jobs.
func addBatch(c *Command) {
	n := c.app.Command("batch", "Submit, follow and cancel batch jobs as a team.")
	c.addSubmit(n)
	c.addJob(n, "get", "Print a job.", (*batchclient.Client).Get)
	c.addJob(n, "cancel", "Cancel a job and wait until nothing of it runs.", (*batchclient.Client).Cancel)
	c.addResults(n)
	c.addList(n)
}

func (c *Command) addSubmit(n *kingpin.CmdClause) {
	f := &submitFlags{}
	s := n.Command("submit", "Upload a file of items and make it a job; to repeat the command is safe.")
	f.add(s)
	s.Arg("file", "File of JSON lines, one item each.").Required().StringVar(&f.path)
	s.Flag("endpoint", "Path that the items call.").Required().StringVar(&f.Endpoint)
	s.Flag("idempotency-key", "Key that names the job; without it the contents do.").StringVar(&f.Key)
	s.Flag("window", "Time in which the job must end.").DurationVar(&f.Window)
	s.Flag("metadata", "Note to keep with the job, as name=value.").StringMapVar(&f.Metadata)
	c.add(s.FullCommand(), func(ctx context.Context) error { return c.submit(ctx, f) })
}

func (c *Command) submit(ctx context.Context, f *submitFlags) error {
	k, err := f.client()
	if err != nil {
		return err
	}
	r, err := os.Open(f.path)
	if err != nil {
		return errors.Wrap(err, "open file of items")
	}
	defer func() { _ = r.Close() }()
	f.File, err = k.Upload(ctx, r)
	if err != nil {
		return errors.Wrap(err, "upload")
	}
	return c.printed(func(b *bytes.Buffer) error { return k.Create(ctx, f.Submission, b) })
}

// jobCall is a request about one job.
type jobCall func(k *batchclient.Client, ctx context.Context, id string, w io.Writer) error

func (c *Command) addJob(n *kingpin.CmdClause, name, help string, call jobCall) {
	f, id := &caller{}, ""
	s := n.Command(name, help)
	f.add(s)
	s.Arg("job", "ID of the job.").Required().StringVar(&id)
	c.add(s.FullCommand(), func(ctx context.Context) error {
		k, err := f.client()
		if err != nil {
			return err
		}
		return c.printed(func(b *bytes.Buffer) error { return call(k, ctx, id, b) })
	})
}

func (c *Command) addResults(n *kingpin.CmdClause) {
	f, id, failed := &caller{}, "", false
	s := n.Command("results", "Write the results of a job as JSON lines in the order of its items.")
	f.add(s)
	s.Arg("job", "ID of the job.").Required().StringVar(&id)
	s.Flag("errors", "Only items without a good answer.").BoolVar(&failed)
	c.add(s.FullCommand(), func(ctx context.Context) error {
		k, err := f.client()
		if err != nil {
			return err
		}
		return k.Results(ctx, id, failed, c.Out)
	})
}

func (c *Command) addList(n *kingpin.CmdClause) {
	f, after, limit := &caller{}, "", 0
	s := n.Command("list", "Print the team's jobs, the newest first.")
	f.add(s)
	s.Flag("after", "Only jobs older than this one.").StringVar(&after)
	s.Flag("limit", "Most jobs to print.").Default(batchListed).IntVar(&limit)
	c.add(s.FullCommand(), func(ctx context.Context) error {
		k, err := f.client()
		if err != nil {
			return err
		}
		return c.printed(func(b *bytes.Buffer) error { return k.List(ctx, after, limit, b) })
	})
}

// printed prints what f writes as indented JSON.
func (c *Command) printed(f func(b *bytes.Buffer) error) error {
	var raw, out bytes.Buffer
	if err := f(&raw); err != nil {
		return err
	}
	if err := json.Indent(&out, raw.Bytes(), "", "  "); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	c.printf("%s\n", out.String())
	return nil
}
