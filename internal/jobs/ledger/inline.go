package ledger

import (
	"bytes"
	"maps"
	"slices"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

const (
	// maxInlineItems is the maximum number of items of an inline job.
	maxInlineItems = 1000
	// maxProgressBytes is the maximum size of the partial output that is kept for an item.
	maxProgressBytes = 1 << 20
)

// inlineItems holds the additional state of an inline job, whose items are part of its submission.
type inlineItems struct {
	names  []string
	tokens []uint32
	// openTokens is the sum of the tokens of the items that have not ended.
	openTokens int64
	// tokensCounted says that openTokens is part of the team's total.
	tokensCounted bool
	// recordedOrder lists the ended items in the order in which their results were recorded.
	recordedOrder []uint32
	progress      map[uint32]*entry.Progress
}

// submit creates an inline job; submitting the same ID again returns the existing job.
func (l *Ledger) submit(s *entry.Submit) *entry.Answer {
	if w := l.jobs[s.Job]; w != nil {
		if w.info.Team != s.Team {
			return refused(409, "id-taken", "another team has a job with this ID")
		}
		return &entry.Answer{Job: w.view()}
	}
	if !validID(s.Job) || l.files[s.Job] != nil {
		return invalidID()
	}
	data, ok := joinLines(s)
	if !ok {
		return refused(400, "unusable-items", "the job has no items, too many items, or an item with an empty or repeated name or an invalid line")
	}
	n := &inlineItems{names: s.Names, tokens: s.Tokens, progress: map[uint32]*entry.Progress{}}
	for _, t := range s.Tokens {
		n.openTokens += int64(t)
	}
	if l.overTokenLimit(teamKey{s.Team, s.Target}, n.openTokens, s.TokenLimit) {
		return refused(429, "too-many-tokens", "the open items of the team on this route would exceed its token limit")
	}
	f := &file{info: &entry.File{Id: s.Job, Team: s.Team, Created: l.now, Sealed: true, Hidden: true, Uses: 1}}
	must(l.Storage.Create(f.name()))
	must(l.Storage.Append(f.name(), data))
	f.addLines(data)
	l.files[s.Job] = f
	l.addStoredBytes(s.Team, int64(len(data)))
	w := newJob(&entry.Accept{
		Job:               s.Job,
		Team:              s.Team,
		File:              s.Job,
		Target:            s.Target,
		Repeatable:        true,
		WindowNanoseconds: s.WindowNanoseconds,
		KeepNanoseconds:   s.KeepNanoseconds,
		Attempts:          s.Attempts,
	}, f, l.now)
	w.info.Inline = true
	w.inline = n
	must(l.Storage.Create(w.name()))
	l.jobs[s.Job] = w
	l.jobsByTeam[s.Team] = append(l.jobsByTeam[s.Team], s.Job)
	l.countTokens(w)
	l.enqueue(w)
	return &entry.Answer{Job: w.view()}
}

// overTokenLimit reports whether further tokens of a team on a target would exceed a limit; zero is no limit.
func (l *Ledger) overTokenLimit(k teamKey, tokens, limit int64) bool {
	return limit > 0 && l.openTokens[k]+tokens > limit
}

// joinLines returns the lines of a submission as the contents of a file, and whether the submission is valid.
func joinLines(s *entry.Submit) ([]byte, bool) {
	n := len(s.Lines)
	if n == 0 || n > maxInlineItems || len(s.Names) != n || len(s.Tokens) != n {
		return nil, false
	}
	seen := map[string]bool{}
	var b []byte
	for i, l := range s.Lines {
		if len(l) == 0 || bytes.IndexByte(l, '\n') >= 0 || s.Names[i] == "" || seen[s.Names[i]] {
			return nil, false
		}
		seen[s.Names[i]] = true
		b = append(append(b, l...), '\n')
	}
	return b, true
}

func (l *Ledger) countTokens(w *job) {
	w.inline.tokensCounted = true
	l.addTokens(w, w.inline.openTokens)
}

// uncountTokens removes the open tokens of a job from the team's total when its open items will not run.
func (l *Ledger) uncountTokens(w *job) {
	if w.inline == nil || !w.inline.tokensCounted {
		return
	}
	w.inline.tokensCounted = false
	l.addTokens(w, -w.inline.openTokens)
}

func (l *Ledger) addTokens(w *job, n int64) {
	k := teamKey{w.info.Team, w.info.Target}
	l.openTokens[k] += n
	if l.openTokens[k] == 0 {
		delete(l.openTokens, k)
	}
}

// addRecorded updates the inline state after the result of an item is recorded.
func (l *Ledger) addRecorded(w *job, i uint32) {
	n := w.inline
	if n == nil {
		return
	}
	n.recordedOrder = append(n.recordedOrder, i)
	delete(n.progress, i)
	n.openTokens -= int64(n.tokens[i])
	if n.tokensCounted {
		l.addTokens(w, -int64(n.tokens[i]))
	}
}

// expireWaiting records an expired result for the items that are waiting when the job's window closes.
func (l *Ledger) expireWaiting(w *job) {
	for i := range w.items {
		if w.items[i].state == itemWaiting {
			r := &entry.Result{Code: "expired", Message: "the job's window has closed", Verdict: uint32(verdict.NotRun)}
			l.recordResult(w, uint32(i), itemFailed, r)
		}
	}
}

// sameSoftware reports whether the same service and version made two partial outputs.
func sameSoftware(a, b *entry.Progress) bool {
	return a.Service == b.Service && a.Version == b.Version
}

// updateProgress keeps the partial output of an item whose run ended early, if it extends the output kept before. The
// output of other software takes its place, since the run that made it had to begin anew.
func (n *inlineItems) updateProgress(i uint32, p *entry.Progress) {
	if n == nil || p == nil || p.Next == 0 || len(p.Text) > maxProgressBytes {
		return
	}
	if o := n.progress[i]; o != nil && sameSoftware(o, p) && o.Next >= p.Next {
		return
	}
	p.Index = i
	n.progress[i] = p
}

func (n *inlineItems) progressOf(i uint32) *entry.Progress {
	if n == nil {
		return nil
	}
	return n.progress[i]
}

// save adds the inline state to a saved job.
func (n *inlineItems) save(j *entry.Job) {
	if n == nil {
		return
	}
	j.Names = n.names
	j.Tokens = n.tokens
	for _, i := range slices.Sorted(maps.Keys(n.progress)) {
		j.Progress = append(j.Progress, n.progress[i])
	}
}

// loadInline restores the inline state from a saved job.
func (l *Ledger) loadInline(w *job) error {
	j := w.info
	if !j.Inline {
		return nil
	}
	if len(j.Names) != len(w.items) || len(j.Tokens) != len(w.items) {
		return errCorrupt
	}
	n := &inlineItems{names: j.Names, tokens: j.Tokens, progress: map[uint32]*entry.Progress{}}
	for i, s := range w.items {
		if s.state > itemLeased {
			n.recordedOrder = append(n.recordedOrder, uint32(i))
			continue
		}
		n.openTokens += int64(j.Tokens[i])
	}
	slices.SortStableFunc(n.recordedOrder, func(a, b uint32) int { return int(w.items[a].offset - w.items[b].offset) })
	for _, p := range j.Progress {
		if p.Index >= j.Total || w.items[p.Index].state > itemLeased {
			return errCorrupt
		}
		n.progress[p.Index] = p
	}
	j.Names, j.Tokens, j.Progress = nil, nil, nil
	w.inline = n
	if j.State == jobRunning {
		l.countTokens(w)
	}
	return nil
}

// InlineResults returns the recorded results of an inline job from position start, up to maxBytes but at least one.
func (l *Ledger) InlineResults(id string, start uint32, maxBytes int) ([]*entry.Listed, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || w.inline == nil {
		return nil, ErrNotFound
	}
	var a []*entry.Listed
	size := 0
	for p := int(start); p < len(w.inline.recordedOrder); p++ {
		i := w.inline.recordedOrder[p]
		r, err := l.result(w, int(i))
		if err != nil {
			return nil, err
		}
		if size += len(r.Body); size > maxBytes && len(a) > 0 {
			break
		}
		e := &entry.Listed{Name: w.inline.names[i], Done: w.items[i].state == itemCompleted}
		if e.Done {
			e.Output = r.Body
		}
		a = append(a, e)
	}
	return a, nil
}

// Recorded returns the number of recorded results of an inline job and whether more may follow.
func (l *Ledger) Recorded(id string) (n uint32, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || w.inline == nil {
		return 0, false
	}
	return uint32(len(w.inline.recordedOrder)), w.info.State == jobRunning
}

// Input returns the input line of an item of an inline job that has not ended.
func (l *Ledger) Input(id, name string) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || w.inline == nil || w.info.State != jobRunning {
		return nil, ErrNotFound
	}
	i := slices.Index(w.inline.names, name)
	if i < 0 || w.items[i].state > itemLeased {
		return nil, ErrNotFound
	}
	return l.input(w, i)
}
