package control

import (
	"context"

	"siskinrun/internal/base/ring"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/message"
)

const (
	methodAppend = "control/append"
	methodChunk  = "bulk/control/append"

	senderQueue    = 4096
	maxPacketBytes = 4 << 20
)

// letter is a message of one of the groups.
type letter struct {
	group   uint32
	message message.Message
}

// sender sends the messages of all groups to one member, as few packets as it can.
type sender struct {
	control *Control
	to      identity.Identity
	queue   *ring.Ring[letter]
	parts   *ring.Ring[letter]
}

// send queues messages and drops those for which there is no room.
func (c *Control) send(group uint32, all []message.Message) {
	for _, m := range all {
		s := c.sender(m.To)
		if m.Kind == message.Chunk {
			s.parts.TryPush(letter{group, m})
			continue
		}
		s.queue.TryPush(letter{group, m})
	}
}

func (c *Control) sender(to identity.Identity) *sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.senders[to]
	if s == nil {
		s = &sender{
			control: c,
			to:      to,
			queue:   ring.NewRing[letter](senderQueue),
			parts:   ring.NewRing[letter](len(c.Machines)),
		}
		c.senders[to] = s
		c.group.Go("sender", s.run)
		c.group.Go("snapshot sender", s.runParts)
	}
	return s
}

func (s *sender) run(ctx context.Context) error {
	for {
		all, err := s.queue.PopAll(ctx, senderQueue)
		if err != nil {
			return err
		}
		for len(all) > 0 {
			n := fitting(all)
			s.post(ctx, methodAppend, all[:n])
			all = all[n:]
		}
	}
}

// runParts sends parts of snapshots, which are read here so that no replica waits for the disk.
func (s *sender) runParts(ctx context.Context) error {
	for {
		l, err := s.parts.Pop(ctx)
		if err != nil {
			return err
		}
		u, err := s.control.unit(l.group)
		if err != nil {
			continue
		}
		l.message.Data, l.message.Last, err = u.storage.Part(l.message.Index, l.message.Offset)
		if err != nil {
			continue
		}
		s.post(ctx, methodChunk, []letter{l})
	}
}

func (s *sender) post(ctx context.Context, method string, all []letter) {
	c := s.control
	b, err := encodePacket(c.formation.Cluster, c.self, s.to, all)
	if err != nil {
		c.Log.Error().Err(err).Msg("packet dropped")
		return
	}
	if c.Link.Send(ctx, s.to.Host, method, b) {
		c.count("control.sent-bytes", int64(len(b)))
		c.count("control.sent-packets", 1)
	}
}

// fitting returns how many letters fit one packet.
func fitting(all []letter) int {
	size := 0
	for i, l := range all {
		for _, e := range l.message.Entries {
			size += e.Size()
		}
		if i > 0 && size > maxPacketBytes {
			return i
		}
	}
	return len(all)
}
