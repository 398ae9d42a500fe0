package distribution

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

// maxVersions limits the revisions in one answer.
const maxVersions = 1024

// Versions asks the leader for the newest revisions, newest first.
func (s *Service) Versions(ctx context.Context, limit int) ([]revision.Revision, error) {
	w := &spreadwire.VersionsAnswer{}
	q := &spreadwire.VersionsQuestion{Most: uint32(min(max(limit, 0), maxVersions))}
	if err := s.callLeader(ctx, methodVersions, q, w); err != nil {
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
func (s *Service) Diff(ctx context.Context, from, to uint64) ([]difference.Difference, error) {
	w := &spreadwire.DiffAnswer{}
	if err := s.callLeader(ctx, methodDiff, &spreadwire.DiffQuestion{From: from, To: to}, w); err != nil {
		return nil, err
	}
	l := make([]difference.Difference, len(w.Differences))
	for i, d := range w.Differences {
		l[i] = difference.Difference{Field: d.Field, Before: d.Before, After: d.After}
	}
	return l, nil
}

func (s *Service) callLeader(ctx context.Context, method string, q, a proto.Message) error {
	b, err := proto.Marshal(q)
	if err != nil {
		return err
	}
	r, err := s.Client.CallLeader(ctx, configurationGroup, method, b)
	if err != nil {
		return err
	}
	return errors.Wrap(proto.Unmarshal(r, a), "decode answer of the configuration leader")
}

func (s *Service) handleVersions(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &spreadwire.VersionsQuestion{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, badMessage(err)
	}
	if err := s.confirmApplied(ctx); err != nil {
		return nil, err
	}
	w := &spreadwire.VersionsAnswer{}
	for _, r := range s.Store.Versions(int(min(q.Most, maxVersions))) {
		b, err := json.Marshal(r)
		if err != nil {
			return nil, err
		}
		w.Revisions = append(w.Revisions, b)
	}
	return proto.Marshal(w)
}

func (s *Service) handleDiff(ctx context.Context, _ string, body []byte) ([]byte, error) {
	q := &spreadwire.DiffQuestion{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, badMessage(err)
	}
	if err := s.confirmApplied(ctx); err != nil {
		return nil, err
	}
	l, err := s.Store.Diff(q.From, q.To)
	if err != nil {
		return nil, refusal.NewNotRun(404, "unknown-version", err.Error())
	}
	w := &spreadwire.DiffAnswer{}
	for _, d := range l {
		w.Differences = append(w.Differences, &spreadwire.Difference{Field: d.Field, Before: d.Before, After: d.After})
	}
	return proto.Marshal(w)
}

// confirmApplied makes sure that this host's replica has applied every acknowledged change.
func (s *Service) confirmApplied(ctx context.Context) error {
	if _, err := s.Client.Confirm(ctx, configurationGroup); err != nil {
		return refusal.NewNotRun(503, "no-quorum", "the configuration could not be confirmed by a quorum")
	}
	return nil
}

func badMessage(err error) error {
	return refusal.NewNotRun(400, "bad-message", err.Error())
}
