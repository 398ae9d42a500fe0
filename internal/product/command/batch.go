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
	defaultBatchTimeout = 10 * time.Minute
	defaultJobLimit     = "20"
	keyEnv              = "SISKIN_KEY"
)

func init() {
	subcommands = append(subcommands, addBatch)
}

// teamFlags are the flags of commands that call a fleet with the key of a team.
type teamFlags struct {
	url     string
	keyFile string
	timeout time.Duration
}

func (f *teamFlags) add(c *kingpin.CmdClause) {
	c.Flag("url", "URL of the callers' address.").Envar("SISKIN_URL").Required().StringVar(&f.url)
	c.Flag("key-file", "File with the team's key, instead of the variable "+keyEnv+".").StringVar(&f.keyFile)
	c.Flag("timeout", "Timeout of a request.").Default(defaultBatchTimeout.String()).DurationVar(&f.timeout)
}

func (f *teamFlags) client() (*batchclient.Client, error) {
	c := &batchclient.Client{Address: f.url, Timeout: f.timeout}
	if f.keyFile == "" {
		c.Key = secret.Secret(os.Getenv(keyEnv))
	} else {
		k, err := secret.Read(f.keyFile)
		if err != nil {
			return nil, err
		}
		c.Key = k
	}
	if len(c.Key) == 0 {
		return nil, errors.New("no team key: give --key-file or set " + keyEnv)
	}
	return c, nil
}

// submitFlags are the flags of the subcommand submit.
type submitFlags struct {
	teamFlags
	submission.Submission
	path string
}

// addBatch adds the subcommands that submit, inspect, list and cancel batch jobs and print their results.
func addBatch(c *Command) {
	n := c.app.Command("batch", "Submit, follow and cancel batch jobs as a team.")
	c.addSubmit(n)
	c.addJob(n, "get", "Print a job.", (*batchclient.Client).Get)
	c.addJob(n, "cancel", "Cancel a job and wait until none of its items runs.", (*batchclient.Client).Cancel)
	c.addResults(n)
	c.addList(n)
}

func (c *Command) addSubmit(n *kingpin.CmdClause) {
	f := &submitFlags{}
	s := n.Command("submit", "Upload a file of items and create a job from it; the command is idempotent.")
	f.add(s)
	s.Arg("file", "File of JSON lines, one item each.").Required().StringVar(&f.path)
	s.Flag("endpoint", "Path that the items call.").Required().StringVar(&f.Endpoint)
	s.Flag("idempotency-key", "Idempotency key of the job; the default is derived from its contents.").StringVar(&f.Key)
	s.Flag("window", "Time within which the job must end.").DurationVar(&f.Window)
	s.Flag("metadata", "Metadata of the job, as name=value.").StringMapVar(&f.Metadata)
	c.handle(s.FullCommand(), func(ctx context.Context) error { return c.submit(ctx, f) })
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
	return c.printIndented(func(b *bytes.Buffer) error { return k.Create(ctx, f.Submission, b) })
}

// jobRequest sends a request about one job and writes the answer to w.
type jobRequest func(k *batchclient.Client, ctx context.Context, id string, w io.Writer) error

func (c *Command) addJob(n *kingpin.CmdClause, name, help string, call jobRequest) {
	f, id := &teamFlags{}, ""
	s := n.Command(name, help)
	f.add(s)
	s.Arg("job", "ID of the job.").Required().StringVar(&id)
	c.handle(s.FullCommand(), func(ctx context.Context) error {
		k, err := f.client()
		if err != nil {
			return err
		}
		return c.printIndented(func(b *bytes.Buffer) error { return call(k, ctx, id, b) })
	})
}

func (c *Command) addResults(n *kingpin.CmdClause) {
	f, id, failed := &teamFlags{}, "", false
	s := n.Command("results", "Write the results of a job as JSON lines in the order of its items.")
	f.add(s)
	s.Arg("job", "ID of the job.").Required().StringVar(&id)
	s.Flag("errors", "Only items without a successful answer.").BoolVar(&failed)
	c.handle(s.FullCommand(), func(ctx context.Context) error {
		k, err := f.client()
		if err != nil {
			return err
		}
		return k.Results(ctx, id, failed, c.Out)
	})
}

func (c *Command) addList(n *kingpin.CmdClause) {
	f, after, limit := &teamFlags{}, "", 0
	s := n.Command("list", "Print the team's jobs, the newest first.")
	f.add(s)
	s.Flag("after", "Only jobs older than the job with this ID.").StringVar(&after)
	s.Flag("limit", "Maximum number of jobs to print.").Default(defaultJobLimit).IntVar(&limit)
	c.handle(s.FullCommand(), func(ctx context.Context) error {
		k, err := f.client()
		if err != nil {
			return err
		}
		return c.printIndented(func(b *bytes.Buffer) error { return k.List(ctx, after, limit, b) })
	})
}

// printIndented prints the JSON that f writes with indentation.
func (c *Command) printIndented(f func(b *bytes.Buffer) error) error {
	var raw, out bytes.Buffer
	if err := f(&raw); err != nil {
		return err
	}
	if err := json.Indent(&out, raw.Bytes(), "", "  "); err != nil {
		return errors.Wrap(err, "parse answer as JSON")
	}
	c.printf("%s\n", out.String())
	return nil
}
