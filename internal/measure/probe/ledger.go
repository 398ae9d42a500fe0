package probe

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/filestore"
	"siskinrun/internal/jobs/ledger"
)

const (
	leasedAtOnce = 64
	chunkBytes   = 512 << 10
	jobItems     = 100
	jobWindow    = 24 * time.Hour
	jobKeep      = 7 * 24 * time.Hour
	leaseTime    = 4 * time.Second
)

// book is a ledger with the commands that fill it.
type book struct {
	ledger *ledger.Ledger
	index  uint64
	taken  uint64
	bytes  int
}

// items measures one job of more and more items, of which all are completed.
func (p *Probe) items() error {
	held := p.slope("ledger", "state bytes of open and done items", "items", TargetJobItems)
	spent := p.slope("ledger", "ns to accept, lease and complete", "items", TargetJobItems)
	written := p.slope("ledger", "log bytes", "items", TargetJobItems)
	for _, n := range []int{5000, 10000, 20000, 40000} {
		if err := p.book(func(b *book) error {
			before := heap()
			start, err := processorTime()
			if err != nil {
				return err
			}
			if err := b.job("j", n); err != nil {
				return err
			}
			if err := b.complete(n); err != nil {
				return err
			}
			end, err := processorTime()
			if err != nil {
				return err
			}
			spent.Add(float64(n), float64(end-start))
			written.Add(float64(n), float64(b.bytes))
			held.Add(float64(n), heap()-before)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// jobs measures more and more jobs of a few items each.
func (p *Probe) jobs() error {
	held := p.slope("ledger", "state bytes of jobs of 100 items", "jobs", TargetJobs)
	for _, n := range []int{50, 100, 200} {
		if err := p.book(func(b *book) error {
			before := heap()
			for i := range n {
				if err := b.job(fmt.Sprint("j", i), jobItems); err != nil {
					return err
				}
			}
			held.Add(float64(n), heap()-before)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// book calls f with an empty ledger, whose files are removed afterwards.
func (p *Probe) book(f func(*book) error) error {
	d, err := os.MkdirTemp(p.Folder, "ledger-")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	s, err := filestore.NewStore(d)
	if err != nil {
		return err
	}
	b := &book{ledger: ledger.NewLedger(s)}
	err = f(b)
	runtime.KeepAlive(b)
	s.Close()
	return errors.CombineErrors(err, os.RemoveAll(d))
}

func (b *book) apply(c *entry.Command) (*entry.Answer, error) {
	b.index++
	c.Term = 1
	c.Now = int64(time.Hour)
	m, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	b.bytes += len(m)
	a := &entry.Answer{}
	if err := proto.Unmarshal(b.ledger.Apply(b.index, m), a); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	if f := a.GetRefused(); f != nil {
		return nil, errors.Newf("ledger: refused: %v", f)
	}
	return a, nil
}

// job stores a file of n items and accepts it as a job.
func (b *book) job(id string, n int) error {
	var d []byte
	for i := range n {
		d = fmt.Appendf(d, `{"custom_id":"c%d","body":{"model":"m","prompt":"a prompt of a common length"}}`+"\n", i)
	}
	l := []*entry.Command{{Kind: &entry.Command_Begin{Begin: &entry.Begin{File: id, Team: "t"}}}}
	for o := 0; o < len(d); {
		e := min(o+chunkBytes, len(d))
		e = o + bytes.LastIndexByte(d[o:e], '\n') + 1
		l = append(l, &entry.Command{Kind: &entry.Command_Chunk{Chunk: &entry.Chunk{File: id, Offset: int64(o), Data: d[o:e]}}})
		o = e
	}
	l = append(l,
		&entry.Command{Kind: &entry.Command_Seal{Seal: &entry.Seal{File: id, Bytes: int64(len(d))}}},
		&entry.Command{Kind: &entry.Command_Accept{Accept: &entry.Accept{
			Job: id, Team: "t", File: id, Target: "m", Repeatable: true,
			WindowNanoseconds: int64(jobWindow), KeepNanoseconds: int64(jobKeep),
		}}},
	)
	for _, c := range l {
		if _, err := b.apply(c); err != nil {
			return err
		}
	}
	return nil
}

// complete leases and completes n items.
func (b *book) complete(n int) error {
	for done := 0; done < n; {
		b.taken++
		a, err := b.apply(&entry.Command{Kind: &entry.Command_Take{Take: &entry.Take{
			Holder: "h", Sequence: b.taken, LeaseNanoseconds: int64(leaseTime),
			Wants: []*entry.Want{{Target: "m", Count: leasedAtOnce}},
		}}})
		if err != nil {
			return err
		}
		l := a.GetTaken().GetLeases()
		if len(l) == 0 {
			return errors.Newf("ledger: %d of %d items could be leased", done, n)
		}
		f := &entry.Finish{Holder: "h"}
		for _, e := range l {
			r := &entry.Result{Status: 200, Body: []byte(`{"answer":"done"}`)}
			f.Outcomes = append(f.Outcomes, &entry.Outcome{Fence: e.Fence, Result: r})
		}
		if _, err := b.apply(&entry.Command{Kind: &entry.Command_Finish{Finish: f}}); err != nil {
			return err
		}
		done += len(l)
	}
	return nil
}
