package front

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Copy is a copy of the contents of a Store at one moment.
type Copy struct {
	contents  contents
	remaining map[int]time.Duration // time until each lease expires
}

// ExternalWrite is the last write of a key by an operator or an upstream.
type ExternalWrite struct {
	Key, Value string
	TTL        time.Duration // 0: written without a lease
	Removed    bool          // the key was removed
	seq        int
}

// isExternalKey reports whether operators or upstreams write the key.
func isExternalKey(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// recordExternal records a write by an operator or an upstream, which is about to be
// applied. The caller holds mu.
func (s *Store) recordExternal(w ExternalWrite) {
	if !isExternalKey(w.Key) {
		return
	}
	s.externalSeq++
	w.seq = s.externalSeq
	s.external[w.Key] = w
	s.applied[w.Key] = w.seq
}

// Copy returns a copy of the present contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{contents: s.clone(), remaining: make(map[int]time.Duration)}
	now := time.Now()
	for id, l := range s.leases {
		c.remaining[id] = l.expiresAt.Sub(now)
	}
	return c
}

// Restore replaces the contents by those of a copy, in one step, and begins a new era.
// Revisions and lease ids that were given out since the copy are given out again, and
// leases run for the time that they had left then. Pending watches end.
//
// It returns the last writes of operators and upstreams that the copy lacks, ordered by
// key. They are to be written again with Repeat, in any order. Those whose lease has
// expired are not among them.
func (s *Store) Restore(c Copy) []ExternalWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = c.contents.clone()
	s.era++
	now := time.Now()
	for id, left := range c.remaining {
		l := s.leases[id]
		l.expiresAt = now.Add(left)
		s.leases[id] = l
	}
	s.notifyWatchers()
	var lost []ExternalWrite
	for key, w := range s.external {
		if s.applied[key] < w.seq {
			lost = append(lost, w)
		}
	}
	slices.SortFunc(lost, func(a, b ExternalWrite) int { return cmp.Compare(a.Key, b.Key) })
	return lost
}

// Repeat does a write again that Restore returned, with a new revision. It does nothing
// if the key has been written since by an operator or an upstream, or its entry has
// expired.
func (s *Store) Repeat(w ExternalWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.external[w.Key].seq != w.seq {
		return
	}
	s.applied[w.Key] = w.seq
	switch {
	case w.Removed:
		s.remove(w.Key)
	case w.TTL > 0:
		s.putWithTTL(w.Key, w.Value, w.TTL)
	default:
		s.put(w.Key, item{value: w.Value})
	}
}

// Era returns the number of the present era, as in the header of all answers.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
