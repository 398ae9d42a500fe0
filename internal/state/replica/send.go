package replica

import (
	"siskinrun/internal/state/message"
)

// send queues a message that depends on nothing still to be made durable.
func (r *Replica) send(m message.Message) {
	m.From = r.Self
	if m.Term == 0 {
		m.Term = r.ballot.Term
	}
	r.out.Send = append(r.out.Send, m)
}

// sendAfterSync queues a message that must not leave before the state it relies on is durable.
func (r *Replica) sendAfterSync(m message.Message) {
	if m.To.IsZero() {
		return
	}
	m.From = r.Self
	if m.Term == 0 {
		m.Term = r.ballot.Term
	}
	r.out.SendAfterSync = append(r.out.SendAfterSync, m)
}
