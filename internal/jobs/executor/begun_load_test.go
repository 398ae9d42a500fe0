package executor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/item"
	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/ledger"
)

const (
	// loadStep is the time between two turns of a burstLoad, loadTime its length.
	loadStep = 25 * time.Millisecond
	loadTime = time.Minute
	// burstEvery and burstLength are when online calls leave no slot to items, and for how long.
	burstEvery  = 5800 * time.Millisecond
	burstLength = 2400 * time.Millisecond
	// runTime is how long an item runs in all.
	runTime = 5 * time.Second
	// loadDue is when an item is late, counted from the submission of its job.
	loadDue = 18 * time.Second
	// jobsEvery is the time between two jobs of jobItems items, until jobsUntil.
	jobsEvery = 3 * time.Second
	jobItems  = 10
	jobsUntil = 30 * time.Second
	// loadTeams submit jobs in turn; loadHosts run loadWindow items each outside of bursts.
	loadTeams  = 3
	loadHosts  = 9
	loadWindow = 3
)

// burstLoad plays batch jobs on hosts whose online calls come in bursts that leave no slot or permit, on one ledger.
type burstLoad struct {
	ledger  *ledger.Ledger
	index   uint64
	now     time.Duration
	hosts   []*scheduler
	started map[*task]time.Duration
	// submitted holds when each job came, took how long its items took, and leases how often items were leased.
	submitted map[string]time.Duration
	took      []time.Duration
	leases    int
	// decided, if set, is told of each task that is stopped or started.
	decided func(verb, host string, t *task)
}

func newBurstLoad() *burstLoad {
	b := &burstLoad{ledger: ledger.NewLedger(newDisk()), started: map[*task]time.Duration{}, submitted: map[string]time.Duration{}}
	for range loadHosts {
		b.hosts = append(b.hosts, newScheduler(1))
	}
	return b
}

func (b *burstLoad) time() time.Time { return epoch.Add(b.now) }

func (b *burstLoad) run() {
	for ; b.now < loadTime; b.now += loadStep {
		if b.now < jobsUntil && b.now%jobsEvery == 0 {
			b.submit(int(b.now / jobsEvery))
		}
		for i, p := range b.hosts {
			b.turn(fmt.Sprint("host-", i), p)
		}
	}
}

func (b *burstLoad) submit(n int) {
	s := &entry.Submit{
		Job: fmt.Sprint("job-", n), Team: fmt.Sprint("team-", n%loadTeams), Target: "m",
		WindowNanoseconds: int64(time.Hour), KeepNanoseconds: int64(time.Hour), Attempts: 5,
	}
	for i := range jobItems {
		s.Names = append(s.Names, fmt.Sprint("item-", i))
		s.Lines = append(s.Lines, []byte("{}"))
		s.Tokens = append(s.Tokens, 1)
	}
	b.submitted[s.Job] = b.now
	b.apply(&entry.Command{Kind: &entry.Command_Submit{Submit: s}})
}

// turn plays one turn of a host: it ends, stops, returns and starts items, reports outcomes and leases others.
func (b *burstLoad) turn(name string, p *scheduler) {
	window := loadWindow
	if b.now%burstEvery >= burstEvery-burstLength {
		window = 0
	}
	p.setUpstream("upstream-"+name, []string{"m"}, window, b.time().Add(time.Minute))
	b.end(p)
	for _, t := range p.tasksToStop(b.time()) {
		b.tell("stop", name, t)
		p.finishRun(b.time(), t, b.preempted(t))
	}
	p.returnStale(b.time())
	for _, t := range p.assign(b.time()) {
		b.tell("start", name, t)
		b.started[t] = b.now
	}
	b.exchange(name, p)
}

func (b *burstLoad) tell(verb, host string, t *task) {
	if b.decided != nil {
		b.decided(verb, host, t)
	}
}

// end ends the items that have run for runTime in all.
func (b *burstLoad) end(p *scheduler) {
	for _, t := range p.startedNewestFirst() {
		if b.done(t) >= runTime {
			b.took = append(b.took, b.now-b.submitted[t.item.Job])
			p.endTask(t, &entry.Outcome{Fence: t.item.Fence, Result: &entry.Result{Status: 200, Body: []byte("text")}})
		}
	}
}

// done returns how long an item has run in all; its events are milliseconds.
func (b *burstLoad) done(t *task) time.Duration {
	return time.Duration(t.item.NextEvent)*time.Millisecond + b.now - b.started[t]
}

func (b *burstLoad) preempted(t *task) *entry.Outcome {
	o := unsentOutcome(t.item.Fence)
	o.Progress = &entry.Progress{Next: uint64(b.done(t) / time.Millisecond), Text: []byte("text")}
	return o
}

func (b *burstLoad) exchange(name string, p *scheduler) {
	s := p.groups[1]
	if n := len(s.outcomes); n > 0 {
		b.apply(&entry.Command{Kind: &entry.Command_Finish{Finish: &entry.Finish{Holder: name, Outcomes: s.outcomes}}})
		p.acknowledge(1, n)
	}
	s.backlog = b.ledger.Backlog(int64(b.now))
	w := p.wants(b.time(), 1)
	if len(w) == 0 {
		return
	}
	s.sequence++
	k := &entry.Take{Holder: name, Sequence: s.sequence, LeaseNanoseconds: int64(time.Hour), Wants: w}
	l := b.apply(&entry.Command{Kind: &entry.Command_Take{Take: k}}).GetTaken().GetLeases()
	must(b.ledger.FillInputs(l, 1<<20))
	b.leases += len(l)
	var items []item.Item
	for _, x := range l {
		items = append(items, itemFromLease(x))
	}
	p.addLeased(b.time(), 1, items, b.time().Add(time.Hour))
}

func (b *burstLoad) apply(c *entry.Command) *entry.Answer {
	b.index++
	c.Term = 1
	c.Now = int64(b.now)
	m, err := proto.Marshal(c)
	must(err)
	a := &entry.Answer{}
	must(proto.Unmarshal(b.ledger.Apply(b.index, m), a))
	return a
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// TestItemsThatABurstBreaksOffGoOnBeforeOthersBegin guards against bursts that are longer than items wait at their host: what
// they break off must not wait for the items of younger jobs.
func TestItemsThatABurstBreaksOffGoOnBeforeOthersBegin(t *testing.T) {
	is := is.New(t)
	b := newBurstLoad()
	b.run()
	late := 0
	for _, d := range b.took {
		if d > loadDue {
			late++
		}
	}
	t.Logf("%d items done, %d late, the last after %v, %d leases", len(b.took), late, slices.Max(b.took), b.leases)
	is.Equal(len(b.took), int(jobsUntil/jobsEvery)*jobItems)
	is.Equal(late, 0)
	is.True(b.leases < 2*len(b.took))
	for _, p := range b.hosts {
		is.NoErr(p.check())
	}
}
