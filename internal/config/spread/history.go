package spread

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/config/spreadwire"
	"siskinrun/pkg/refusal"
)

// maxVersions bounds the revisions in one answer.
const maxVersions = 1024

// Versions asks the leader for the newest revisions, newest first.
func (s *Spread) Versions(ctx context.Context, most int) ([]revision.Revision, error) {
	w := &spreadwire.VersionsAnswer{}
	q := &spreadwire.VersionsQuestion{Most: uint32(min(max(most, 0), maxVersions))}
	if err := s.askLeader(ctx, methodVersions, q, w); err != nil {
		return nil, err
	}
	l := make([]revision.Revision, len(w.Revisions))
	for i, b := range w.Revisions {
		if err := json.Unmarshal(b, &l[i]); err != nil {
			return nil, errors.Wrap(err, "decode revision")
		}
	}
	return l, nil
}

// Diff asks the leader in which fields version to differs from version from.
func (s *Spread) Diff(ctx context.Context, from, to uint64) ([]difference.Difference, error) {
	w := &spreadwire.DiffAnswer{}
	if err := s.askLeader(ctx, methodDiff, &spreadwire.DiffQuestion{From: from, To: to}, w); err != nil {
		return nil, err
	}
	l := make([]difference.Difference, len(w.Differences))
	for i, d := range w.Differences {
		l[i] = difference.Difference{Field: d.Field, Before: d.Before, After: d.After}
	}
	return l, nil
}

func (s *Spread) askLeader(ctx context.Context, method string, q, a proto.Message) error {
	b, err := proto.Marshal(q)
	if err != nil {
		return err
	}
	r, err := s.Client.CallLeader(ctx, configurationGroup, method, b)
	if err != nil {
		return err
	}
	return errors.Wrap(proto.Unmarshal(r, a), "decode answer of the leader")
}

func (s *Spread) answerVersions(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &spreadwire.VersionsQuestion{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, badQuestion(err)
	}
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	w := &spreadwire.VersionsAnswer{}
	for _, r := range s.Register.Versions(int(min(q.Most, maxVersions))) {
		b, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		w.Revisions = append(w.Revisions, b)
	}
	return proto.Marshal(w)
}

func (s *Spread) answerDiff(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &spreadwire.DiffQuestion{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, badQuestion(err)
	}
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	l, err := s.Register.Diff(q.From, q.To)
	if err != nil {
		return nil, refusal.NewNotRun(404, "unknown-version", err.Error())
	}
	w := &spreadwire.DiffAnswer{}
	for _, d := range l {
		w.Differences = append(w.Differences, &spreadwire.Difference{Field: d.Field, Before: d.Before, After: d.After})
	}
	return proto.Marshal(w)
}

// settle makes sure that the own replica has applied all that was acknowledged.
func (s *Spread) settle(ctx context.Context) error {
	if _, err := s.Client.Confirm(ctx, configurationGroup); err != nil {
		return refusal.NewNotRun(503, "no-quorum", "the configuration could not be confirmed by a quorum")
	}
	return nil
}

func badQuestion(err error) error {
	return refusal.NewNotRun(400, "bad-message", err.Error())
}
