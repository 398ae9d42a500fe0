package batch

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/job"
	"siskinrun/internal/data/submission"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// cancelTimeout bounds the wait until no host runs an item of a cancelled job.
	cancelTimeout      = 12 * time.Second
	cancelPollInterval = 50 * time.Millisecond
)

// jobStates are the names of the job states in the ledger, by number.
var jobStates = [...]string{job.Running, job.Cancelling, job.Cancelled, job.Completed, job.Expired}

// CreateJob accepts a job, or returns the job of an earlier request with the same key.
func (b *Service) CreateJob(ctx context.Context, team string, r submission.Submission) (job.Job, error) {
	f, err := b.file(ctx, team, r.File)
	if err != nil {
		return job.Job{}, err
	}
	a, err := b.acceptance(team, r, f)
	if err != nil {
		return job.Job{}, err
	}
	k := reservation(team, r, f, a)
	j, err := b.reserveAndAccept(ctx, k, a)
	if refusalCode(err) != "no-such-file" {
		return j, err
	}
	// The key is bound to a job that was never accepted and whose file no longer exists.
	k.Replaces = a.Job
	k.Job = b.newID(kindJob, ignoreError(b.groupIn(kindFile, f.Id)))
	return b.reserveAndAccept(ctx, k, a)
}

// acceptance returns the command that accepts a job for a file.
func (b *Service) acceptance(team string, r submission.Submission, f *entry.File) (*entry.Accept, error) {
	if r.Endpoint != f.Endpoint {
		return nil, refusal.NewNotRun(400, "wrong-endpoint", "the endpoint differs from the url in the lines of the file")
	}
	target, repeatable, ok := b.Directory.Target(f.Endpoint, f.Model)
	if !ok {
		return nil, refusal.NewNotRun(404, "no-route", "no route serves the endpoint and model of the file")
	}
	if r.Window == 0 {
		r.Window = DefaultWindow
	}
	if r.Window < 0 || r.Window > MaxWindow {
		return nil, refusal.NewNotRun(400, "bad-window", "the completion window must be between 0 and 144 hours")
	}
	g, err := b.groupIn(kindFile, f.Id)
	if err != nil {
		return nil, err
	}
	return &entry.Accept{
		Job:               b.newID(kindJob, g),
		Team:              team,
		File:              f.Id,
		Endpoint:          f.Endpoint,
		Target:            target,
		Repeatable:        repeatable,
		WindowNanoseconds: int64(r.Window),
		KeepNanoseconds:   int64(JobRetention),
		Metadata:          r.Metadata,
	}, nil
}

// reservation returns the command that binds a job ID to the idempotency key of a request, or to a hash of the
// contents and endpoint if the request has no key.
func reservation(team string, r submission.Submission, f *entry.File, a *entry.Accept) *entry.Reserve {
	h := sha256.New()
	h.Write(f.Hash)
	h.Write([]byte(a.Endpoint))
	c := h.Sum(nil)
	k := "key:" + r.Key
	if r.Key == "" {
		k = "content:" + hex.EncodeToString(c)
	}
	return &entry.Reserve{
		Team:            team,
		Key:             k,
		Content:         c,
		Job:             a.Job,
		File:            a.File,
		KeepNanoseconds: int64(DefaultWindow),
	}
}

// reserveAndAccept binds the key to a job ID before it accepts the job, so that retries accept the same job.
func (b *Service) reserveAndAccept(ctx context.Context, k *entry.Reserve, a *entry.Accept) (job.Job, error) {
	c := &entry.Command{Kind: &entry.Command_Reserve{Reserve: k}}
	s, err := b.Command(ctx, b.keyGroup(k.Team, k.Key), c)
	if err != nil {
		return job.Job{}, asNotRun(err)
	}
	a.Job = s.Reserved.GetJob()
	a.File = s.Reserved.GetFile()
	g, err := b.groupIn(kindJob, a.Job)
	if err != nil {
		return job.Job{}, err
	}
	a.Limit, a.Elsewhere, err = b.quota(ctx, a.Team, g)
	if err != nil {
		return job.Job{}, err
	}
	t, err := b.Command(ctx, g, &entry.Command{Kind: &entry.Command_Accept{Accept: a}})
	if err != nil {
		return job.Job{}, acceptanceUnknown(err)
	}
	return jobFromEntry(t.Job), nil
}

// acceptanceUnknown sets the code and message of a refusal after which the job may have been accepted, and its status where that
// would say that no part of the job runs.
func acceptanceUnknown(err error) error {
	f := refusal.Of(err)
	if f.Verdict == verdict.NotRun {
		return f
	}
	r := f.WithVerdict(f.Verdict)
	r.Code = "acceptance-unknown"
	r.Message = "the job may have been accepted; it is safe to send it again with the same key or contents"
	return r
}

func refusalCode(err error) string {
	if err == nil {
		return ""
	}
	return refusal.Of(err).Code
}

// ignoreError drops the error of groupIn, for an ID that is known to be valid.
func ignoreError(g uint32, _ error) uint32 {
	return g
}

// GetJob returns a job of a team.
func (b *Service) GetJob(ctx context.Context, team, id string) (job.Job, error) {
	g, err := b.groupIn(kindJob, id)
	if err != nil {
		return job.Job{}, err
	}
	f, err := b.query(ctx, &entry.Query{Group: g, Kind: &entry.Query_Job{Job: id}})
	if err != nil {
		return job.Job{}, err
	}
	if len(f.Jobs) != 1 || f.Jobs[0].Team != team {
		return job.Job{}, notFound(kindJob)
	}
	return jobFromEntry(f.Jobs[0]), nil
}

// ListJobs returns up to limit jobs, newest first. If after is set, they start after the job with that ID.
func (b *Service) ListJobs(ctx context.Context, team, after string, limit int) ([]job.Job, error) {
	var a []job.Job
	for g := uint32(1); g <= b.Groups; g++ {
		f, err := b.query(ctx, &entry.Query{Group: g, Kind: &entry.Query_Jobs{Jobs: team}})
		if err != nil {
			return nil, err
		}
		for _, j := range f.Jobs {
			a = append(a, jobFromEntry(j))
		}
	}
	slices.SortFunc(a, func(x, y job.Job) int {
		return cmp.Or(y.Created.Compare(x.Created), cmp.Compare(x.ID, y.ID))
	})
	if after != "" {
		i := slices.IndexFunc(a, func(j job.Job) bool { return j.ID == after })
		if i < 0 {
			return nil, notFound(kindJob)
		}
		a = a[i+1:]
	}
	return a[:min(len(a), max(limit, 0))], nil
}

// CancelJob cancels a job and returns once none of its items runs or can start.
func (b *Service) CancelJob(ctx context.Context, team, id string) (job.Job, error) {
	g, err := b.groupIn(kindJob, id)
	if err != nil {
		return job.Job{}, err
	}
	c := &entry.Cancel{Job: id, Team: team}
	a, err := b.Command(ctx, g, &entry.Command{Kind: &entry.Command_Cancel{Cancel: c}})
	if err != nil {
		return job.Job{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	j := jobFromEntry(a.Job)
	for !j.Ended() {
		if b.Timer.Sleep(ctx, cancelPollInterval) != nil {
			return j, cancelUnconfirmed()
		}
		j, err = b.GetJob(ctx, team, id)
		if err != nil && ctx.Err() != nil {
			return j, cancelUnconfirmed()
		}
		if err != nil {
			return j, errors.Wrap(err, "wait for the end of the cancelled job")
		}
	}
	return j, nil
}

func cancelUnconfirmed() error {
	m := "no more items of the job start, but not all hosts have confirmed that they stopped; cancel again to wait longer"
	return refusal.NewMayHaveRun(504, "cancel-unconfirmed", m).WithRetryAfter(time.Second)
}

func jobFromEntry(e *entry.Job) job.Job {
	j := job.Job{
		ID:          e.Id,
		Team:        e.Team,
		File:        e.File,
		Endpoint:    e.Endpoint,
		Target:      e.Target,
		Repeatable:  e.Repeatable,
		State:       jobStates[min(int(e.State), len(jobStates)-1)],
		Total:       int(e.Total),
		Completed:   int(e.Completed),
		Failed:      int(e.Failed),
		MayHaveRun:  int(e.MayHaveRun),
		Cancelled:   int(e.Cancelled),
		Leased:      int(e.Leased),
		ResultBytes: e.ResultBytes,
		Created:     time.Unix(0, e.Created).UTC(),
		Deadline:    time.Unix(0, e.Deadline).UTC(),
		Metadata:    e.Metadata,
	}
	if e.Finished > 0 {
		j.Finished = time.Unix(0, e.Finished).UTC()
	}
	return j
}
