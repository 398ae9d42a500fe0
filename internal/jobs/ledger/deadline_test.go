package ledger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"siskinrun/internal/jobs/entry"
)

// completion is the time from a job's creation to its deadline in these tests.
const completion = 18 * time.Second

func takeByDeadline(holder string, sequence uint64, n uint32, starts uint64) *entry.Command {
	return &entry.Command{Kind: &entry.Command_Take{Take: &entry.Take{
		Holder: holder, Sequence: sequence, LeaseNanoseconds: int64(time.Hour),
		Wants: []*entry.Want{{Target: "m", Count: n, CompletionNanoseconds: int64(completion), Starts: starts}},
	}}}
}

// takeDue leases up to n items by deadline and returns how many each team got, and the teams in order.
func (b *harness) takeDue(sequence uint64, n uint32, starts uint64) (map[string]int, string) {
	m, order := map[string]int{}, ""
	for _, l := range b.apply(takeByDeadline("h", sequence, n, starts)).GetTaken().GetLeases() {
		m[l.Team]++
		order += l.Team
	}
	return m, order
}

// Guards against a job that waits behind jobs with later deadlines, and against a team that waits for a whole job of another
// team with the same deadline.
func TestItemsAreLeasedByDeadline(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("first", "a", 20, true)
	b.now += time.Second
	b.job("c1", "c", 3, true)
	b.job("d1", "d", 3, true)
	b.now += time.Second
	b.job("last", "b", 20, true)
	m, _ := b.takeDue(1, 19, 0)
	is.Equal(m["a"], 19)
	_, order := b.takeDue(2, 8, 19)
	is.Equal(order, "acdcdcdb")
}

// Guards against overdue jobs that take slots from jobs that can meet their deadlines, and against overdue jobs that get
// nothing until their window closes.
func TestOverdueJobsGetOneItemInEight(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("late", "a", 100, true)
	b.now += completion + time.Millisecond
	b.job("due", "b", 100, true)
	m := map[string]int{}
	for n := range uint64(20) { // 80 items in uneven requests
		for k, v := range first(b.takeDue(2*n+1, 3, 8*n)) {
			m[k] += v
		}
		for k, v := range first(b.takeDue(2*n+2, 5, 8*n+3)) {
			m[k] += v
		}
		if n == 9 {
			is.Equal(m["a"], 10)
			is.Equal(m["b"], 70)
		}
	}
	is.Equal(m["b"], 100)
	is.Equal(m["a"], 60) // nothing else waits
}

// Guards against overdue jobs of a team that get nothing since the team has jobs that can meet their deadlines as well.
func TestOverdueJobsOfAllTeamsGetItems(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("late-a", "a", 100, true)
	b.job("late-b", "b", 100, true)
	b.now += completion + time.Millisecond
	b.job("due-a", "a", 2000, true)
	jobs := map[string]int{}
	for n := range uint64(100) {
		for _, l := range b.apply(takeByDeadline("h", n+1, 8, 8*n)).GetTaken().GetLeases() {
			jobs[l.Job]++
		}
	}
	is.Equal(jobs["late-a"], 50)
	is.Equal(jobs["late-b"], 50)
}

// Guards against one overdue job that has the teams take turns in place of the order by deadline.
func TestAnOverdueJobLeavesTheOrderByDeadline(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	b.job("late", "z", 50, true)
	b.now += completion + time.Millisecond
	b.job("first", "a", 30, true)
	b.now += time.Second
	for i := range 9 {
		b.job(fmt.Sprint("later-", i), fmt.Sprint("t", i), 30, true)
	}
	m, _ := b.takeDue(1, 40, 0)
	is.Equal(m["a"], 30)
	is.Equal(m["z"], 5)
}

func first(m map[string]int, _ string) map[string]int {
	return m
}

// Guards against a team that submits many times its usual amount and so makes the jobs of other teams late: 40 items a second
// are done, 20 are usual, and one team submits 2,000 at once.
func TestLargeTeamDoesNotMakeOthersLate(t *testing.T) {
	is := is.New(t)
	b := newHarness(t)
	const startsPerTick, tick, run = 10, 250 * time.Millisecond, 4 * time.Second
	begin := b.now
	created := map[string]time.Duration{}
	submit := func(team string, n int) {
		id := fmt.Sprintf("%s-%d", team, b.now/time.Millisecond)
		b.job(id, team, n, true)
		created[id] = b.now
	}
	late, ended := 0, 0
	for n := range uint64(160) {
		if n == 8 {
			submit("large", 2000)
		}
		if n%4 == 0 {
			for i := range 4 {
				submit(fmt.Sprint("small", i), 5)
			}
		}
		for _, l := range b.apply(takeByDeadline("h", n+1, startsPerTick, n*startsPerTick)).GetTaken().GetLeases() {
			if l.Team == "large" {
				continue
			}
			ended++
			if b.now+run > created[l.Job]+completion {
				late++
			}
		}
		b.now += tick
	}
	is.Equal(b.now-begin, 40*time.Second)
	is.True(ended > 600) // of 800 submitted, the last just now
	is.Equal(late, 0)
}

// Guards against replicas that lease different items by the same command, after a restore from a snapshot and whichever rule the
// commands before it followed.
func TestRestoredReplicaLeasesTheSameItems(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t)
			r := rand.New(rand.NewPCG(seed, 1))
			restoreAt := r.Uint64N(50)
			starts, held := uint64(0), []uint64(nil)
			for n := range uint64(60) {
				if n == restoreAt {
					b.replica = restoredCopy(t, b)
				}
				b.now += time.Duration(r.IntN(2000)) * time.Millisecond
				if n%3 == 0 {
					b.job(fmt.Sprint("j", n), fmt.Sprint("t", r.IntN(5)), 1+r.IntN(30), true)
				}
				for len(held) > 10 {
					b.finish("h", &entry.Outcome{Fence: held[0], Kind: entry.Outcome_Kind(r.IntN(4))})
					held = held[1:]
				}
				if n%7 == 0 {
					b.apply(&entry.Command{Kind: &entry.Command_Cancel{Cancel: &entry.Cancel{Job: fmt.Sprint("j", 3*r.IntN(20)), Team: "t1"}}})
				}
				c := takeByDeadline("h", n+1, uint32(r.IntN(20)), starts)
				if r.IntN(4) == 0 {
					c.GetTake().Wants[0].CompletionNanoseconds = 0
				}
				for _, l := range b.apply(c).GetTaken().GetLeases() {
					held = append(held, l.Fence)
				}
				starts += uint64(c.GetTake().Wants[0].Count)
				is.NoErr(b.ledger.Check())
			}
			is.NoErr(b.replica.Check())
		})
	}
}
