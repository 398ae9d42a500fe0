package executor

import (
	"fmt"
	"time"

	"siskinrun/internal/jobs/entry"
)

// upload stores a file of n items, of which the last always fails.
func (w *simulation) upload(id string, n int) {
	w.propose(&entry.Command{Kind: &entry.Command_Begin{Begin: &entry.Begin{File: id, Team: "t"}}})
	var b []byte
	for range n - 1 {
		b = append(b, "good\n"...)
	}
	b = append(b, poison+"\n"...)
	w.propose(&entry.Command{Kind: &entry.Command_Chunk{Chunk: &entry.Chunk{File: id, Data: b}}})
	w.propose(&entry.Command{Kind: &entry.Command_Seal{Seal: &entry.Seal{File: id, Bytes: int64(len(b))}}})
}

// submit retries a job until its acceptance is confirmed, and sometimes sends it again afterwards.
func (w *simulation) submit(k, file string, repeatable bool) {
	w.seq++
	r := &entry.Reserve{
		Team:            "t",
		Key:             k,
		Content:         []byte(file),
		Job:             fmt.Sprintf("batch-1-%d", w.seq),
		File:            file,
		KeepNanoseconds: int64(time.Hour),
	}
	w.call(&entry.Command{Kind: &entry.Command_Reserve{Reserve: r}}, func(a *entry.Answer, err error) {
		if err != nil {
			w.submit(k, file, repeatable)
			return
		}
		w.accept(k, a.Reserved, repeatable)
	})
}

func (w *simulation) accept(k string, s *entry.Reserved, repeatable bool) {
	c := &entry.Accept{
		Job:               s.Job,
		Team:              "t",
		File:              s.File,
		Target:            "m",
		Repeatable:        repeatable,
		WindowNanoseconds: int64(time.Hour),
		KeepNanoseconds:   int64(time.Hour),
	}
	w.call(&entry.Command{Kind: &entry.Command_Accept{Accept: c}}, func(a *entry.Answer, err error) {
		if err != nil || w.chance(30) {
			w.submit(k, s.File, repeatable)
		}
		if err != nil {
			return
		}
		if o, ok := w.accepted[k]; ok && o != a.Job.GetId() {
			w.fail("key %s created two jobs, %s and %s", k, o, a.Job.GetId())
		}
		w.accepted[k] = a.Job.GetId()
	})
}

// cancel cancels a job, with retries, and waits until it has ended.
func (w *simulation) cancel(k string) {
	id, ok := w.accepted[k]
	if !ok {
		w.after(100*time.Millisecond, func() { w.cancel(k) })
		return
	}
	w.call(&entry.Command{Kind: &entry.Command_Cancel{Cancel: &entry.Cancel{Job: id, Team: "t"}}},
		func(_ *entry.Answer, err error) {
			if err != nil {
				w.cancel(k)
				return
			}
			w.await(id)
		})
}

func (w *simulation) await(id string) {
	j, err := w.replicas[w.leader].ledger.Job(id)
	if err != nil {
		w.fail("job %s is lost", id)
		return
	}
	if j.Finished > 0 {
		w.recordCancelled(id)
		return
	}
	w.after(50*time.Millisecond, func() { w.await(id) })
}

func (w *simulation) sweep() {
	w.propose(&entry.Command{Kind: &entry.Command_Sweep{Sweep: &entry.Sweep{}}})
	w.after(250*time.Millisecond, w.sweep)
}
