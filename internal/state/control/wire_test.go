package control

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
)

var (
	senderID   = identity.Identity{Host: "a", Disk: "1"}
	receiverID = identity.Identity{Host: "b", Disk: "2"}
)

func envelopes() []envelope {
	return []envelope{
		{0, message.Message{
			Kind: message.Append, From: senderID, To: receiverID, Term: 3, Index: 4, LogTerm: 2, Commit: 4, Round: 9,
			Entries: []logentry.Entry{{Index: 5, Term: 3, Kind: logentry.Command, Data: []byte("x")}, {Index: 6, Term: 3, Kind: logentry.MembershipChange, Data: []byte("{}")}},
		}},
		{7, message.Message{
			Kind: message.Chunk, From: senderID, To: receiverID, Term: 3, Index: 4, LogTerm: 2, Offset: 5, Data: []byte("y"), Last: true,
			Members: memberset.Set{Voters: []identity.Identity{senderID, receiverID}},
		}},
		{1, message.Message{Kind: message.VoteReply, From: senderID, To: receiverID, Term: 8, Reject: true, Hint: 3, Force: true}},
	}
}

func TestPacketCarriesMessages(t *testing.T) {
	is := is.New(t)
	b, err := encodePacket("c", senderID, receiverID, envelopes())
	is.NoErr(err)
	cluster, all, err := decodePacket(b)
	is.NoErr(err)
	is.Equal(cluster, "c")
	is.Equal(all, envelopes())
}

func TestEntriesOutOfOrderAreRefused(t *testing.T) {
	is := is.New(t)
	l := envelopes()
	l[0].message.Entries[1].Index = 9
	b, err := encodePacket("c", senderID, receiverID, l)
	is.NoErr(err)
	_, _, err = decodePacket(b)
	is.True(err != nil)
}

func TestPacketsAreBounded(t *testing.T) {
	is := is.New(t)
	big := envelope{0, message.Message{Kind: message.Append, Entries: []logentry.Entry{{Data: make([]byte, maxPacketBytes/2)}}}}
	is.Equal(countFitting([]envelope{big, big, big}), 1)
	is.Equal(countFitting(envelopes()), 3)
}

func FuzzPacket(f *testing.F) {
	b, err := encodePacket("c", senderID, receiverID, envelopes())
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
