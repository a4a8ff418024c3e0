// Package quorum decides how long a leader may go on without its lease, and until when its
// successor has to expect that an earlier leader goes on.
//
// The store makes one instance the leader, by a lease. A leader that cannot renew its lease does
// not know why: if the store is unavailable to all instances, no other one can be elected, and
// somebody has to renew the grants of keys; if the store rejects only this leader, another one may
// lead already. It therefore needs the support of the instances in the stored ownership record,
// the voters. A successor reads the same record after its election.
//
// Invariants:
//   - a leader without a valid lease goes on only while more than half of the voters support it,
//     and MaxOutage long at most
//   - the support of an instance ends SupportTime after the leader sent the last reply that the
//     instance has acknowledged, on the clock of the leader
//   - an instance never acknowledges a reply of an earlier leader once it has acknowledged one of a
//     later leader, so that half of the voters, by following the successor, end the support of all
//     earlier leaders
//   - while it is not known whether a record with other voters has been stored, a leader needs the
//     support of the voters of both records
//   - a record that states that earlier leaders may go on makes each successor wait for MaxOutage;
//     the leader that has stored it needs no support
//
// The package reads no clock and does no I/O.
package quorum

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// MaxOutage is the longest time for which a leader goes on without a valid lease. Outages
	// of the store that are longer end the grants of keys. A successor that hears from too few
	// voters waits as long before it moves keys, and 15 s after a loss of instances all keys
	// are to be served again.
	MaxOutage = 10 * time.Second
	// SupportTime is the time for which the acknowledgement of a reply supports the leader. It
	// covers the longest wait of a report at the leader, 700 ms, and a delay.
	SupportTime = 1200 * time.Millisecond
	// clockDriftFactor is the largest ratio of the speeds of two clocks.
	clockDriftFactor = 1.02
	// MaxFormerLead is the longest time after an election for which an earlier leader may go on,
	// on the clock of the successor.
	MaxFormerLead = time.Duration(float64(MaxOutage) * clockDriftFactor)
)

// Electorate is what the stored ownership record says about support.
type Electorate struct {
	Voters []fleet.InstanceID
	// Open states that leaders before the one that stored the record may go on, whatever the
	// voters support. A leader that has read no record, so that nobody can have granted keys,
	// counts its own support as open.
	Open bool
}

// Support is what a leader knows of the instances that support it. Times are on a clock of the
// leader that includes the time for which its machine was suspended. The zero value has no voters,
// so that the leader ends with its lease.
type Support struct {
	self    fleet.InstanceID
	stored  Electorate
	pending *Electorate // of a record that may have been stored
	ackedAt map[fleet.InstanceID]time.Duration
}

// NewSupport returns the support of a leader that has just been elected. stored is that of the
// record that it has read.
func NewSupport(self fleet.InstanceID, stored Electorate) Support {
	return Support{self: self, stored: stored}
}

// Acknowledged records that an instance has acknowledged a reply that was sent at sentAt.
func (s *Support) Acknowledged(id fleet.InstanceID, sentAt time.Duration) {
	if s.ackedAt == nil {
		s.ackedAt = make(map[fleet.InstanceID]time.Duration)
	}
	s.ackedAt[id] = max(s.ackedAt[id], sentAt)
}

// Storing records that a write of a record with the electorate e begins.
func (s *Support) Storing(e Electorate) { s.pending = &e }

// Stored records that the record of the last call of Storing has been stored.
func (s *Support) Stored() {
	if s.pending != nil {
		s.stored, s.pending = *s.pending, nil
	}
}

// MayLead reports whether the leader may go on at clock. Its lease was valid until validUntil.
func (s *Support) MayLead(clock, validUntil time.Duration) bool {
	switch {
	case clock < validUntil:
		return true
	case clock >= validUntil+MaxOutage:
		return false
	}
	return s.suffices(clock, s.stored) && (s.pending == nil || s.suffices(clock, *s.pending))
}

func (s *Support) suffices(clock time.Duration, e Electorate) bool {
	supporters := 0
	for _, id := range e.Voters {
		ackedAt, acked := s.ackedAt[id]
		if id == s.self || acked && clock < ackedAt+SupportTime {
			supporters++
		}
	}
	return e.Open || 2*supporters > len(e.Voters)
}

// Succession is what a leader knows of the end of earlier leaders. The zero value is that of a
// leader without predecessors.
type Succession struct {
	electorate Electorate
	supportEnd map[fleet.InstanceID]time.Time // of the support of earlier leaders by voters
	end        time.Time
}

// NewSuccession returns the succession of a leader that was elected at now or before. e is the
// electorate of the record that it has read. A record without voters that is not open is one that
// no earlier leader has stored, so that none has granted keys.
func NewSuccession(now time.Time, e Electorate) Succession {
	s := Succession{electorate: e, end: now.Add(MaxFormerLead)}
	if !e.Open && len(e.Voters) == 0 {
		s.end = now
	}
	return s
}

// Follows records a report in which an instance has acknowledged a reply of this leader. The
// instance had the last reply of an earlier leader age ago, or before.
func (s *Succession) Follows(now time.Time, id fleet.InstanceID, age time.Duration) {
	if s.electorate.Open || !slices.Contains(s.electorate.Voters, id) {
		return
	}
	if _, known := s.supportEnd[id]; known {
		return
	}
	if s.supportEnd == nil {
		s.supportEnd = make(map[fleet.InstanceID]time.Time)
	}
	s.supportEnd[id] = now.Add(time.Duration(float64(SupportTime)*clockDriftFactor - float64(age)/clockDriftFactor))
	needed := (len(s.electorate.Voters) + 1) / 2
	if len(s.supportEnd) < needed {
		return
	}
	ends := make([]time.Time, 0, len(s.supportEnd))
	for _, end := range s.supportEnd {
		ends = append(ends, end)
	}
	slices.SortFunc(ends, time.Time.Compare)
	if end := ends[needed-1]; end.Before(s.end) {
		s.end = end
	}
}

// FormerEnd returns the time after which no earlier leader goes on, as far as it is known.
func (s *Succession) FormerEnd() time.Time { return s.end }

// Silent reports whether an instance has not followed yet while earlier leaders may go on.
func (s *Succession) Silent(now time.Time, id fleet.InstanceID) bool {
	_, known := s.supportEnd[id]
	return !known && now.Before(s.end)
}
