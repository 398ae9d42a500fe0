package promptguard

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/routing/crashmessage"
)

func encode(e crashevidence.Evidence) ([]byte, error) {
	m := &crashmessage.Evidence{}
	for _, l := range e.Losses {
		m.Losses = append(m.Losses, &crashmessage.Loss{
			Id: l.ID, Upstream: l.Upstream, AgeNanoseconds: int64(l.Age), Answering: l.Answering, Parts: l.Parts,
		})
	}
	for _, g := range e.Good {
		m.Good = append(m.Good, &crashmessage.Good{Part: g.Part, AgeNanoseconds: int64(g.Age)})
	}
	return proto.Marshal(m)
}

func decode(b []byte) (crashevidence.Evidence, error) {
	m := &crashmessage.Evidence{}
	if err := proto.Unmarshal(b, m); err != nil {
		return crashevidence.Evidence{}, errors.Wrap(err, "decode crash evidence")
	}
	e := crashevidence.Evidence{}
	for _, l := range m.Losses {
		e.Losses = append(e.Losses, crashevidence.Loss{
			ID: l.Id, Upstream: l.Upstream, Age: max(time.Duration(l.AgeNanoseconds), 0), Answering: l.Answering, Parts: l.Parts,
		})
	}
	for _, g := range m.Good {
		e.Good = append(e.Good, crashevidence.Good{Part: g.Part, Age: max(time.Duration(g.AgeNanoseconds), 0)})
	}
	return e, nil
}
