package control

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/packet"
)

func encodePacket(cluster string, from, to identity.Identity, envelopes []envelope) ([]byte, error) {
	p := &packet.Packet{Cluster: cluster, From: encodeIdentity(from), To: encodeIdentity(to)}
	for _, l := range envelopes {
		p.Messages = append(p.Messages, encodeMessage(l))
	}
	b, err := proto.Marshal(p)
	return b, errors.Wrap(err, "encode a packet")
}

func encodeMessage(l envelope) *packet.Message {
	m := l.message
	p := &packet.Message{
		Group:   l.group,
		Kind:    uint32(m.Kind),
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Round:   m.Round,
		Reject:  m.Reject,
		Hint:    m.Hint,
		Force:   m.Force,
		Offset:  m.Offset,
		Data:    m.Data,
		Last:    m.Last,
	}
	if m.Kind == message.Chunk {
		p.Quorum = m.Members.Encode()
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &packet.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return p
}

func decodePacket(b []byte) (cluster string, envelopes []envelope, err error) {
	p := &packet.Packet{}
	if err := proto.Unmarshal(b, p); err != nil {
		return "", nil, errors.Wrap(err, "decode a packet")
	}
	from := decodeIdentity(p.GetFrom())
	to := decodeIdentity(p.GetTo())
	for _, m := range p.GetMessages() {
		d, err := decodeMessage(m)
		if err != nil {
			return "", nil, err
		}
		d.From = from
		d.To = to
		envelopes = append(envelopes, envelope{group: m.GetGroup(), message: d})
	}
	return p.GetCluster(), envelopes, nil
}

func decodeMessage(p *packet.Message) (message.Message, error) {
	m := message.Message{
		Kind:    message.Kind(p.GetKind()),
		Term:    p.GetTerm(),
		Index:   p.GetIndex(),
		LogTerm: p.GetLogTerm(),
		Commit:  p.GetCommit(),
		Round:   p.GetRound(),
		Reject:  p.GetReject(),
		Hint:    p.GetHint(),
		Force:   p.GetForce(),
		Offset:  p.GetOffset(),
		Data:    p.GetData(),
		Last:    p.GetLast(),
	}
	if len(p.GetQuorum()) > 0 {
		q, err := memberset.NewSet(p.GetQuorum())
		if err != nil {
			return m, err
		}
		m.Members = q
	}
	for i, e := range p.GetEntries() {
		if e.GetIndex() != m.Index+uint64(i)+1 || e.GetKind() > uint32(logentry.MembershipChange) {
			return m, errors.New("the entries of a message are out of order or of unknown kind")
		}
		m.Entries = append(m.Entries, logentry.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: logentry.Kind(e.GetKind()), Data: e.GetData()})
	}
	return m, nil
}

func encodeIdentity(i identity.Identity) *packet.Identity {
	return &packet.Identity{Host: i.Host, Disk: i.Disk}
}

func decodeIdentity(p *packet.Identity) identity.Identity {
	return identity.Identity{Host: p.GetHost(), Disk: p.GetDisk()}
}

func encodeFormation(f formation.Formation) *packet.Formation {
	p := &packet.Formation{Cluster: f.Cluster, Coordinator: encodeIdentity(f.Coordinator), Round: f.Round, Formed: f.Formed}
	for _, i := range f.Members {
		p.Members = append(p.Members, encodeIdentity(i))
	}
	return p
}

func decodeFormation(p *packet.Formation) formation.Formation {
	f := formation.Formation{Cluster: p.GetCluster(), Coordinator: decodeIdentity(p.GetCoordinator()), Round: p.GetRound(), Formed: p.GetFormed()}
	for _, i := range p.GetMembers() {
		f.Members = append(f.Members, decodeIdentity(i))
	}
	return f
}
