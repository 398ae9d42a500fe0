package replica

import (
	"slices"

	"siskinrun/internal/state/logentry"
)

// log holds the entries after the last compaction.
type log struct {
	base     uint64
	baseTerm uint64
	entries  []logentry.Entry
}

func (l *log) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, if the log still knows it.
func (l *log) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// between returns the entries after from, up to and including to.
func (l *log) between(from, to uint64) []logentry.Entry {
	if to <= from || from < l.base {
		return nil
	}
	return l.entries[from-l.base : to-l.base : to-l.base]
}

// batch returns the entries after from that fit in one message.
func (l *log) batch(from uint64, maxEntries int) []logentry.Entry {
	all := l.between(from, l.last())
	size := 0
	for i, e := range all {
		size += e.Size()
		if i > 0 && size > maxBatchBytes || i == maxEntries {
			return all[:i:i]
		}
	}
	return all
}

func (l *log) append(e ...logentry.Entry) {
	l.entries = append(l.entries, e...)
}

// truncate drops the entry at i and all later ones.
func (l *log) truncate(i uint64) {
	l.entries = slices.Clone(l.entries[:i-l.base-1])
}

// compact drops the entries up to and including i.
func (l *log) compact(i uint64) {
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base = i
	l.baseTerm = t
}

// conflictHint returns the last index before i whose term is lower than the term at i.
func (l *log) conflictHint(i uint64) uint64 {
	i = min(i, l.last())
	t, ok := l.term(i)
	for ok && i > l.base {
		p, known := l.term(i - 1)
		if !known || p != t {
			break
		}
		i--
	}
	if i <= l.base {
		return l.base
	}
	return i - 1
}
