package costprobe

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
	leasesPerTake = 64
	chunkBytes    = 512 << 10
	jobItems      = 100
	jobWindow     = 24 * time.Hour
	jobRetention  = 7 * 24 * time.Hour
	leaseDuration = 4 * time.Second
)

// ledgerDriver applies commands to a ledger and counts their encoded bytes.
type ledgerDriver struct {
	ledger       *ledger.Ledger
	index        uint64
	takeSequence uint64
	logBytes     int
}

// measureItems measures one job at growing numbers of items, all of which complete.
func (p *Probe) measureItems() error {
	stateBytes := p.newCurve("ledger", "state bytes of open and done items", "items", TargetJobItems)
	processTime := p.newCurve("ledger", "ns to accept, lease and complete", "items", TargetJobItems)
	logSize := p.newCurve("ledger", "log bytes", "items", TargetJobItems)
	for _, n := range []int{5000, 10000, 20000, 40000} {
		if err := p.withLedger(func(b *ledgerDriver) error {
			before := heapBytes()
			start, err := cpuTime()
			if err != nil {
				return err
			}
			if err := b.addJob("j", n); err != nil {
				return err
			}
			if err := b.completeItems(n); err != nil {
				return err
			}
			end, err := cpuTime()
			if err != nil {
				return err
			}
			processTime.Add(float64(n), float64(end-start))
			logSize.Add(float64(n), float64(b.logBytes))
			stateBytes.Add(float64(n), heapBytes()-before)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// measureJobs measures growing numbers of jobs of jobItems items each.
func (p *Probe) measureJobs() error {
	stateBytes := p.newCurve("ledger", "state bytes of jobs of 100 items", "jobs", TargetJobs)
	for _, n := range []int{50, 100, 200} {
		if err := p.withLedger(func(b *ledgerDriver) error {
			before := heapBytes()
			for i := range n {
				if err := b.addJob(fmt.Sprint("j", i), jobItems); err != nil {
					return err
				}
			}
			stateBytes.Add(float64(n), heapBytes()-before)
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// withLedger calls f with an empty ledger and then removes its files.
func (p *Probe) withLedger(f func(*ledgerDriver) error) error {
	d, err := os.MkdirTemp(p.Folder, "ledger-")
	if err != nil {
		return errors.Wrap(err, "create ledger directory")
	}
	s, err := filestore.NewStore(d)
	if err != nil {
		return err
	}
	b := &ledgerDriver{ledger: ledger.NewLedger(s)}
	err = f(b)
	runtime.KeepAlive(b)
	s.Close()
	return errors.CombineErrors(err, os.RemoveAll(d))
}

func (b *ledgerDriver) apply(c *entry.Command) (*entry.Answer, error) {
	b.index++
	c.Term = 1
	c.Now = int64(time.Hour)
	m, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	b.logBytes += len(m)
	a := &entry.Answer{}
	if err := proto.Unmarshal(b.ledger.Apply(b.index, m), a); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	if f := a.GetRefused(); f != nil {
		return nil, errors.Newf("ledger: command refused: %v", f)
	}
	return a, nil
}

// addJob uploads a file of n items and accepts it as a job.
func (b *ledgerDriver) addJob(id string, n int) error {
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
			WindowNanoseconds: int64(jobWindow), KeepNanoseconds: int64(jobRetention),
		}}},
	)
	for _, c := range l {
		if _, err := b.apply(c); err != nil {
			return err
		}
	}
	return nil
}

// completeItems leases and completes n items.
func (b *ledgerDriver) completeItems(n int) error {
	for done := 0; done < n; {
		b.takeSequence++
		a, err := b.apply(&entry.Command{Kind: &entry.Command_Take{Take: &entry.Take{
			Holder: "h", Sequence: b.takeSequence, LeaseNanoseconds: int64(leaseDuration),
			Wants: []*entry.Want{{Target: "m", Count: leasesPerTake}},
		}}})
		if err != nil {
			return err
		}
		l := a.GetTaken().GetLeases()
		if len(l) == 0 {
			return errors.Newf("ledger: only %d of %d items could be leased", done, n)
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
