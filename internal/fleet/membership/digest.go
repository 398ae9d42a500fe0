package membership

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/data/gossipmessage"
)

// Digest returns the hosts and sequences known here; a peer answers with the news that they lack.
func (m *Membership) Digest() gossipmessage.Message {
	return gossipmessage.Message{From: m.name, Hosts: m.sortedHosts()}
}

// FirstDigest returns the digest that begins an exchange: a compact one in a large fleet. If the answer is a mismatch, the
// exchange goes on with Digest.
func (m *Membership) FirstDigest() gossipmessage.Message {
	if m.Small() {
		return m.Digest()
	}
	return m.CompactDigest()
}

// CompactDigest returns a digest that names no hosts. A peer that knows the same hosts answers it like a full one, any other
// with the hosts that it knows.
func (m *Membership) CompactDigest() gossipmessage.Message {
	q := m.Digest()
	compress(&q)
	return q
}

// compress replaces the hosts of a message by their fingerprint and sequences.
func compress(n *gossipmessage.Message) {
	n.Fingerprint = fingerprint(n.Hosts)
	n.Sequences = make([]uint64, 0, len(n.Hosts))
	for _, h := range n.Hosts {
		n.Sequences = append(n.Sequences, h.Sequence)
	}
	n.Hosts = nil
}

// expand restores the hosts of a compressed message and reports whether their fingerprint is that of the hosts known here.
func (m *Membership) expand(n *gossipmessage.Message) bool {
	l := m.sortedHosts()
	if fingerprint(l) != n.Fingerprint || len(l) != len(n.Sequences) {
		return false
	}
	for i, s := range n.Sequences {
		l[i].Sequence = s
	}
	n.Hosts = l
	return true
}

// fingerprint returns a hash of the states of hosts without their sequences. It is never zero.
func fingerprint(l []gossipmessage.Host) uint64 {
	d := xxhash.New()
	var b []byte
	for _, h := range l {
		b = appendState(b[:0], h)
		_, _ = d.Write(b) // a hash write never fails
	}
	return max(d.Sum64(), 1)
}

// appendState appends all fields of a host but its sequence.
func appendState(b []byte, h gossipmessage.Host) []byte {
	for _, s := range []string{h.Name, h.FailureDomain, h.Label} {
		b = append(b, s...)
		b = append(b, 0)
	}
	b = binary.LittleEndian.AppendUint64(b, h.Boot)
	b = binary.LittleEndian.AppendUint64(b, h.Refutation)
	for _, v := range []bool{h.Control, h.Ledgers, h.Replica, h.Stopping, h.Dead} {
		b = strconv.AppendBool(b, v)
	}
	if h.Features != 0 { // older builds know none, and their fingerprints stay the same
		b = binary.LittleEndian.AppendUint64(b, uint64(h.Features))
	}
	return b
}
