package ledger

import (
	"bytes"
	"maps"
	"slices"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

const (
	// maxInline is the most items of a job that come with it.
	maxInline = 1000
	// maxProgressBytes is the longest output of an unfinished item that is kept.
	maxProgressBytes = 1 << 20
)

// inline is what a job has besides its items where these came with it.
type inline struct {
	names  []string
	tokens []uint32
	// open are the tokens of the items that have not ended, once the job is counted.
	open    int64
	counted bool
	// order are the items in the order of their recorded results.
	order    []uint32
	progress map[uint32]*entry.Progress
}

// submit makes items that come with the command a job.
func (l *Ledger) submit(s *entry.Submit) *entry.Answer {
	if w := l.jobs[s.Job]; w != nil {
		if w.facts.Team != s.Team {
			return refused(409, "id-taken", "another team has a job of this ID")
		}
		return &entry.Answer{Job: w.view()}
	}
	if !validID(s.Job) || l.files[s.Job] != nil {
		return badID()
	}
	data, ok := joined(s)
	if !ok {
		return refused(400, "unusable-items", "the job holds no items, too many, or one that cannot be kept")
	}
	n := &inline{names: s.Names, tokens: s.Tokens, progress: map[uint32]*entry.Progress{}}
	for _, t := range s.Tokens {
		n.open += int64(t)
	}
	if s.TokenLimit > 0 && l.tokens[owner{s.Team, s.Target}]+n.open > s.TokenLimit {
		return refused(429, "too-many-tokens", "the team has too many tokens waiting on the route")
	}
	f := &file{facts: &entry.File{Id: s.Job, Team: s.Team, Created: l.now, Sealed: true, Hidden: true, Uses: 1}}
	must(l.Storage.Create(f.name()))
	must(l.Storage.Append(f.name(), data))
	f.addLines(data)
	l.files[s.Job] = f
	l.use(s.Team, int64(len(data)))
	w := newWork(&entry.Accept{
		Job:               s.Job,
		Team:              s.Team,
		File:              s.Job,
		Target:            s.Target,
		Repeatable:        true,
		WindowNanoseconds: s.WindowNanoseconds,
		KeepNanoseconds:   s.KeepNanoseconds,
		Attempts:          s.Attempts,
	}, f, l.now)
	w.facts.Inline = true
	w.inline = n
	must(l.Storage.Create(w.name()))
	l.jobs[s.Job] = w
	l.owned[s.Team] = append(l.owned[s.Team], s.Job)
	l.countTokens(w)
	l.enqueue(w)
	return &entry.Answer{Job: w.view()}
}

// joined returns the lines of a submission as a file, and whether they can be kept.
func joined(s *entry.Submit) ([]byte, bool) {
	n := len(s.Lines)
	if n == 0 || n > maxInline || len(s.Names) != n || len(s.Tokens) != n {
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

func (l *Ledger) countTokens(w *work) {
	w.inline.counted = true
	l.addTokens(w, w.inline.open)
}

// uncount frees the tokens of a job whose open items will not run.
func (l *Ledger) uncount(w *work) {
	if w.inline == nil || !w.inline.counted {
		return
	}
	w.inline.counted = false
	l.addTokens(w, -w.inline.open)
}

func (l *Ledger) addTokens(w *work, n int64) {
	k := owner{w.facts.Team, w.facts.Target}
	l.tokens[k] += n
	if l.tokens[k] == 0 {
		delete(l.tokens, k)
	}
}

// list notes that the result of an item was recorded.
func (l *Ledger) list(w *work, i uint32) {
	n := w.inline
	if n == nil {
		return
	}
	n.order = append(n.order, i)
	delete(n.progress, i)
	n.open -= int64(n.tokens[i])
	if n.counted {
		l.addTokens(w, -int64(n.tokens[i]))
	}
}

// giveUp records the end of the items that a job's window has closed on.
func (l *Ledger) giveUp(w *work) {
	for i := range w.slots {
		if w.slots[i].state == waiting {
			r := &entry.Result{Code: "expired", Message: "the job's window has closed", Verdict: uint32(verdict.NotRun)}
			l.record(w, uint32(i), failed, r)
		}
	}
}

// advance keeps the output of an item whose run ended early, if it is longer than what is kept.
func (n *inline) advance(i uint32, p *entry.Progress) {
	if n == nil || p == nil || p.Next == 0 || len(p.Text) > maxProgressBytes {
		return
	}
	if o := n.progress[i]; o != nil && o.Next >= p.Next {
		return
	}
	p.Index = i
	n.progress[i] = p
}

func (n *inline) progressOf(i uint32) *entry.Progress {
	if n == nil {
		return nil
	}
	return n.progress[i]
}

// save adds the inline part to the saved job.
func (n *inline) save(j *entry.Job) {
	if n == nil {
		return
	}
	j.Names = n.names
	j.Tokens = n.tokens
	for _, i := range slices.Sorted(maps.Keys(n.progress)) {
		j.Progress = append(j.Progress, n.progress[i])
	}
}

// loadInline takes the inline part from a saved job.
func (l *Ledger) loadInline(w *work) error {
	j := w.facts
	if !j.Inline {
		return nil
	}
	if len(j.Names) != len(w.slots) || len(j.Tokens) != len(w.slots) {
		return errDamaged
	}
	n := &inline{names: j.Names, tokens: j.Tokens, progress: map[uint32]*entry.Progress{}}
	for i, s := range w.slots {
		if s.state > leased {
			n.order = append(n.order, uint32(i))
			continue
		}
		n.open += int64(j.Tokens[i])
	}
	slices.SortStableFunc(n.order, func(a, b uint32) int { return int(w.slots[a].offset - w.slots[b].offset) })
	for _, p := range j.Progress {
		if p.Index >= j.Total || w.slots[p.Index].state > leased {
			return errDamaged
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

// Listing returns the recorded results of an inline job from a position on, up to most bytes but one at least.
func (l *Ledger) Listing(id string, from uint32, most int) ([]*entry.Listed, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || w.inline == nil {
		return nil, ErrUnknown
	}
	var a []*entry.Listed
	size := 0
	for p := int(from); p < len(w.inline.order); p++ {
		i := w.inline.order[p]
		r, err := l.result(w, int(i))
		if err != nil {
			return nil, err
		}
		if size += len(r.Body); size > most && len(a) > 0 {
			break
		}
		e := &entry.Listed{Name: w.inline.names[i], Done: w.slots[i].state == completed}
		if e.Done {
			e.Output = r.Body
		}
		a = append(a, e)
	}
	return a, nil
}

// Recorded returns the number of recorded results of an inline job and whether more can come.
func (l *Ledger) Recorded(id string) (n uint32, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || w.inline == nil {
		return 0, false
	}
	return uint32(len(w.inline.order)), w.facts.State == jobRunning
}

// Input returns the input line of an item of an inline job that has not ended.
func (l *Ledger) Input(id, name string) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.jobs[id]
	if w == nil || w.inline == nil || w.facts.State != jobRunning {
		return nil, ErrUnknown
	}
	i := slices.Index(w.inline.names, name)
	if i < 0 || w.slots[i].state > leased {
		return nil, ErrUnknown
	}
	return l.input(w, i)
}
