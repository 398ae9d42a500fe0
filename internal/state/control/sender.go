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

	senderQueueLength = 4096
	maxPacketBytes    = 4 << 20
)

// envelope is a message and the number of its group.
type envelope struct {
	group   uint32
	message message.Message
}

// sender sends the messages of all groups to one member, batched into packets.
type sender struct {
	control *Service
	to      identity.Identity
	queue   *ring.Ring[envelope]
	chunks  *ring.Ring[envelope]
}

// send queues messages and drops those that do not fit in the queue.
func (c *Service) send(group uint32, all []message.Message) {
	for _, m := range all {
		s := c.sender(m.To)
		if m.Kind == message.Chunk {
			s.chunks.TryPush(envelope{group, m})
			continue
		}
		s.queue.TryPush(envelope{group, m})
	}
}

func (c *Service) sender(to identity.Identity) *sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.senders[to]
	if s == nil {
		s = &sender{
			control: c,
			to:      to,
			queue:   ring.NewRing[envelope](senderQueueLength),
			chunks:  ring.NewRing[envelope](len(c.Machines)),
		}
		c.senders[to] = s
		c.group.Go("sender", s.runMessages)
		c.group.Go("snapshot sender", s.runChunks)
	}
	return s
}

func (s *sender) runMessages(ctx context.Context) error {
	for {
		all, err := s.queue.PopBatch(ctx, senderQueueLength)
		if err != nil {
			return err
		}
		for len(all) > 0 {
			n := countFitting(all)
			s.sendPacket(ctx, methodAppend, all[:n])
			all = all[n:]
		}
	}
}

// runChunks sends snapshot chunks, which it reads here so that no replica waits for the disk.
func (s *sender) runChunks(ctx context.Context) error {
	for {
		l, err := s.chunks.Pop(ctx)
		if err != nil {
			return err
		}
		d, err := s.control.driver(l.group)
		if err != nil {
			continue
		}
		l.message.Data, l.message.Last, err = d.storage.ReadChunk(l.message.Index, l.message.Offset)
		if err != nil {
			continue
		}
		s.sendPacket(ctx, methodChunk, []envelope{l})
	}
}

func (s *sender) sendPacket(ctx context.Context, method string, all []envelope) {
	c := s.control
	b, err := encodePacket(c.formation.Cluster, c.self, s.to, all)
	if err != nil {
		c.Log.Error().Err(err).Msg("packet dropped: it can't be encoded")
		return
	}
	if c.Link.Send(ctx, s.to.Host, method, b) {
		c.count("control.sent-bytes", int64(len(b)))
		c.count("control.sent-packets", 1)
	}
}

// countFitting returns how many of the envelopes fit in one packet.
func countFitting(all []envelope) int {
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
