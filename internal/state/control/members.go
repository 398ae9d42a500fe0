package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/packet"
	"siskinrun/pkg/refusal"
)

// MethodMembers is the call that asks the leader of a group for its members.
const MethodMembers = "control/members"

// EncodeMembersRequest encodes the request for the members of a group.
func EncodeMembersRequest(group uint32) ([]byte, error) {
	return proto.Marshal(&packet.Question{Group: group})
}

// DecodeMembers decodes the members, voters and learners, from a leader's answer.
func DecodeMembers(b []byte) ([]identity.Identity, error) {
	f := &packet.Formation{}
	if err := proto.Unmarshal(b, f); err != nil {
		return nil, errors.Wrap(err, "decode members")
	}
	var l []identity.Identity
	for _, i := range f.GetMembers() {
		l = append(l, decodeIdentity(i))
	}
	return l, nil
}

// CodeMembersChanging is the code of the refusal to tell the members of a group while a change of them is not committed.
const CodeMembersChanging = "members-changing"

// errMembersChanging refuses to tell members that the other hosts may not know of, and that a loss of this host may undo.
var errMembersChanging = refusal.NewNotRun(503, CodeMembersChanging, "a change of the group's members is not committed yet")

// onMembers answers with the members of a group that this host leads, once they are committed.
func (c *Service) onMembers(ctx context.Context, _ string, body []byte) ([]byte, error) {
	d, _, err := c.confirmLeader(ctx, body)
	if err != nil {
		return nil, err
	}
	f := &packet.Formation{}
	err = d.do(ctx, func(time.Time) error {
		if !d.replica.MembersCommitted() {
			return errMembersChanging
		}
		for _, i := range d.replica.Members().All() {
			f.Members = append(f.Members, encodeIdentity(i))
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return proto.Marshal(f)
}
