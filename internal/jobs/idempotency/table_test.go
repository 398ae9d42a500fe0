package idempotency

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/jobs/entry"
)

func open(key, fingerprint, nonce string) *entry.Open {
	return &entry.Open{Team: "t", Key: key, Fingerprint: []byte(fingerprint), Nonce: nonce, KeepNanoseconds: 100}
}

func TestResends(t *testing.T) {
	is := is.New(t)
	x := NewTable()
	r, err := x.Open(open("k", "p", "n"), 1, 0)
	is.NoErr(err)
	is.Equal(r.Fence, uint64(1))
	r, err = x.Open(open("k", "p", "n"), 2, 0) // a resend of the same request
	is.NoErr(err)
	is.Equal(r.Fence, uint64(1))
	_, err = x.Open(open("k", "p", "m"), 3, 0)
	is.Equal(err, ErrOpen)
	_, err = x.Open(open("k", "q", "m"), 3, 0)
	is.Equal(err, ErrConflict)
	c := &entry.Close{Team: "t", Key: "k", Fence: 2, Answer: []byte("a")}
	is.True(!x.Close(c)) // a wrong fencing token
	c.Fence = 1
	is.True(x.Close(c))
	is.True(!x.Close(&entry.Close{Team: "t", Key: "k", Fence: 1, Answer: []byte("b")}))
	r, err = x.Open(open("k", "p", "m"), 4, 50)
	is.NoErr(err)
	is.Equal(string(r.Answer), "a")
	x.Sweep(99)
	is.Equal(x.Len(), 1)
	x.Sweep(100)
	is.Equal(x.Len(), 0)
}

func TestTeamAtRecordLimitIsRefused(t *testing.T) {
	is := is.New(t)
	x := NewTable()
	for i := range MaxRecords {
		_, err := x.Open(open(strconv.Itoa(i), "p", "n"), uint64(i), 0)
		is.NoErr(err)
	}
	_, err := x.Open(open("more", "p", "n"), 0, 0)
	is.Equal(err, ErrFull)
	is.True(x.Close(&entry.Close{Team: "t", Key: "0", Fence: 0, NotRun: true}))
	_, err = x.Open(open("more", "p", "n"), 0, 0)
	is.NoErr(err)
}
