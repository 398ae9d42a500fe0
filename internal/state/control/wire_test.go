package control

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/quorum"
)

var (
	sent = identity.Identity{Host: "a", Disk: "1"}
	got  = identity.Identity{Host: "b", Disk: "2"}
)

func letters() []letter {
	return []letter{
		{0, message.Message{
			Kind: message.Append, From: sent, To: got, Term: 3, Index: 4, LogTerm: 2, Commit: 4, Round: 9,
			Entries: []logentry.Entry{{Index: 5, Term: 3, Kind: logentry.Command, Data: []byte("x")}, {Index: 6, Term: 3, Kind: logentry.Change, Data: []byte("{}")}},
		}},
		{7, message.Message{
			Kind: message.Chunk, From: sent, To: got, Term: 3, Index: 4, LogTerm: 2, Offset: 5, Data: []byte("y"), Last: true,
			Quorum: quorum.Quorum{Voters: []identity.Identity{sent, got}},
		}},
		{1, message.Message{Kind: message.VoteReply, From: sent, To: got, Term: 8, Reject: true, Hint: 3, Force: true}},
	}
}

func TestPacketCarriesMessages(t *testing.T) {
	is := is.New(t)
	b, err := encodePacket("c", sent, got, letters())
	is.NoErr(err)
	cluster, all, err := decodePacket(b)
	is.NoErr(err)
	is.Equal(cluster, "c")
	is.Equal(all, letters())
}

func TestEntriesOutOfOrderAreRefused(t *testing.T) {
	is := is.New(t)
	l := letters()
	l[0].message.Entries[1].Index = 9
	b, err := encodePacket("c", sent, got, l)
	is.NoErr(err)
	_, _, err = decodePacket(b)
	is.True(err != nil)
}

func TestPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	big := letter{0, message.Message{Kind: message.Append, Entries: []logentry.Entry{{Data: make([]byte, maxPacketBytes/2)}}}}
	is.Equal(fitting([]letter{big, big, big}), 1)
	is.Equal(fitting(letters()), 3)
}

func FuzzPacket(f *testing.F) {
	b, err := encodePacket("c", sent, got, letters())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		cluster, all, err := decodePacket(b)
		if err != nil || len(all) == 0 {
			return
		}
		c, err := encodePacket(cluster, all[0].message.From, all[0].message.To, all)
		if err != nil {
			t.Skip()
		}
		_, again, err := decodePacket(c)
		if err != nil || len(again) != len(all) {
			t.Fatalf("%d messages became %d: %v", len(all), len(again), err)
		}
	})
}
