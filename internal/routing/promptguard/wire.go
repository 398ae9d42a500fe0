package promptguard

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/routing/crashmessage"
)

func encode(e crashevidence.Evidence) ([]byte, error) {
	return proto.Marshal(toMessage(e))
}

func decode(b []byte) (crashevidence.Evidence, error) {
	m := &crashmessage.Evidence{}
	if err := proto.Unmarshal(b, m); err != nil {
		return crashevidence.Evidence{}, errors.Wrap(err, "decode crash evidence")
	}
	return fromMessage(m), nil
}

func toMessage(e crashevidence.Evidence) *crashmessage.Evidence {
	m := &crashmessage.Evidence{Fingerprint: e.Fingerprint}
	for _, l := range e.Losses {
		x := &crashmessage.Loss{
			Id: l.ID, Upstream: l.Upstream, AgeNanoseconds: int64(l.Age), Answering: l.Answering,
			SentBeforeNanoseconds: int64(l.SentBefore), IdleNanoseconds: int64(l.Idle), After: l.After,
		}
		x.Parts, x.Digest = split(l.Traits)
		m.Losses = append(m.Losses, x)
	}
	for _, g := range e.Good {
		x := &crashmessage.Good{Part: g.Trait.Hash, AgeNanoseconds: int64(g.Age)}
		if g.Trait.Request {
			m.GoodRequests = append(m.GoodRequests, x)
			continue
		}
		m.Good = append(m.Good, x)
	}
	return m
}

func fromMessage(m *crashmessage.Evidence) crashevidence.Evidence {
	e := crashevidence.Evidence{Fingerprint: m.GetFingerprint()}
	for _, l := range m.GetLosses() {
		e.Losses = append(e.Losses, fromLoss(l))
	}
	for _, g := range m.GetGood() {
		e.Good = append(e.Good, crashevidence.Good{Trait: crashevidence.Trait{Hash: g.Part}, Age: duration(g.AgeNanoseconds)})
	}
	for _, g := range m.GetGoodRequests() {
		t := crashevidence.Trait{Hash: g.Part, Request: true}
		e.Good = append(e.Good, crashevidence.Good{Trait: t, Age: duration(g.AgeNanoseconds)})
	}
	return e
}

func fromLoss(l *crashmessage.Loss) crashevidence.Loss {
	x := crashevidence.Loss{
		ID: l.Id, Upstream: l.Upstream, Age: duration(l.AgeNanoseconds), Answering: l.Answering,
		SentBefore: duration(l.SentBeforeNanoseconds), Idle: duration(l.IdleNanoseconds), After: l.After,
		Traits: join(l.Parts, l.Digest),
	}
	if x.SentBefore == 0 {
		x.Idle = x.Age // a host of the former build tells neither
	}
	return x
}

func duration(nanoseconds int64) time.Duration {
	return max(time.Duration(nanoseconds), 0)
}

// split returns the parts of prompts and the digest of the request among traits.
func split(traits []crashevidence.Trait) (parts []uint64, digest uint64) {
	for _, t := range traits {
		if t.Request {
			digest = t.Hash
			continue
		}
		parts = append(parts, t.Hash)
	}
	return parts, digest
}

// join returns the traits of parts of a prompt and of a request.
func join(parts []uint64, digest uint64) []crashevidence.Trait {
	var l []crashevidence.Trait
	for _, p := range parts {
		l = append(l, crashevidence.Trait{Hash: p})
	}
	if digest != 0 {
		l = append(l, crashevidence.Trait{Hash: digest, Request: true})
	}
	return l
}
