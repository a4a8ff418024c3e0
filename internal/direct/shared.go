package direct

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// leaderList is the leader's list of upstreams. The other instances get it in replies
// to their reports, so that only the leader reads it from the store.
type leaderList struct {
	seq     uint64 // version, which grows by one with each change
	entries map[fleet.UpstreamID]leaderListEntry
	removed map[fleet.UpstreamID]uint64 // version in which each upstream was removed
}

type leaderListEntry struct {
	balance.Registration
	coldUntil time.Time
	seq       uint64 // version in which the entry was added or last changed
}

// coldEndTolerance is the largest difference in the end of an upstream's cold phase
// that is not sent as a change.
const coldEndTolerance = 400 * time.Millisecond

func newLeaderList() *leaderList {
	return &leaderList{entries: make(map[fleet.UpstreamID]leaderListEntry), removed: make(map[fleet.UpstreamID]uint64)}
}

// update replaces the list, and reports whether it changed.
func (s *leaderList) update(now time.Time, list []balance.Registration) bool {
	next := s.seq + 1
	seen := make(map[fleet.UpstreamID]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
		e := leaderListEntry{Registration: r, seq: next}
		if r.ColdLeft > 0 {
			e.coldUntil = now.Add(r.ColdLeft)
		}
		e.ColdLeft = 0
		old, known := s.entries[r.ID]
		if known && old.Registration == e.Registration && old.coldUntil.Add(coldEndTolerance).After(e.coldUntil) {
			continue
		}
		s.entries[r.ID] = e
		delete(s.removed, r.ID)
		s.seq = next
	}
	for id := range s.entries {
		if !seen[id] {
			delete(s.entries, id)
			s.removed[id] = next
			s.seq = next
		}
	}
	return s.seq == next
}

// changesSince returns the changes after version seq, or the complete list if seq is 0.
func (s *leaderList) changesSince(now time.Time, seq uint64) listDelta {
	d := listDelta{Seq: s.seq, Complete: seq == 0}
	for _, e := range s.entries {
		if e.seq <= seq {
			continue
		}
		r := e.Registration
		r.ColdLeft = max(0, e.coldUntil.Sub(now))
		d.Changed = append(d.Changed, r)
	}
	for id, removedIn := range s.removed {
		if removedIn > seq && seq > 0 {
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}

// listDelta is the part of the leader's list that an instance lacks.
type listDelta struct {
	Seq      uint64        // version of the leader's list
	Complete bool          // Changed is the complete list
	Age      time.Duration // time since the leader requested the list from the store
	Changed  []balance.Registration
	Removed  []fleet.UpstreamID
}

// listReplica is an instance's copy of the leader's list.
type listReplica struct {
	term    fleet.Revision
	seq     uint64
	entries map[fleet.UpstreamID]balance.Registration
}

// apply applies a delta from the leader of the given term, and returns the resulting
// list.
func (f *listReplica) apply(term fleet.Revision, d listDelta) []balance.Registration {
	if d.Complete || f.term != term {
		f.entries = make(map[fleet.UpstreamID]balance.Registration)
	}
	f.term, f.seq = term, d.Seq
	for id, r := range f.entries {
		r.ColdLeft = 0 // the remaining cold time was valid only when it was sent
		f.entries[id] = r
	}
	for _, r := range d.Changed {
		f.entries[r.ID] = r
	}
	for _, id := range d.Removed {
		delete(f.entries, id)
	}
	list := make([]balance.Registration, 0, len(f.entries))
	for _, r := range f.entries {
		list = append(list, r)
	}
	return list
}

func (d listDelta) encode(e *jx.Encoder) {
	e.ObjStart()
	e.FieldStart("seq")
	e.UInt64(d.Seq)
	e.FieldStart("age-ms")
	e.Int64(d.Age.Milliseconds())
	if d.Complete {
		e.FieldStart("whole")
		e.Bool(true)
	}
	if len(d.Changed) > 0 {
		e.FieldStart("changed")
		e.ArrStart()
		for _, r := range d.Changed {
			encodeRegistration(e, r)
		}
		e.ArrEnd()
	}
	if len(d.Removed) > 0 {
		e.FieldStart("removed")
		e.ArrStart()
		for _, id := range d.Removed {
			e.Str(string(id))
		}
		e.ArrEnd()
	}
	e.ObjEnd()
}

func encodeRegistration(e *jx.Encoder, r balance.Registration) {
	e.ObjStart()
	for _, f := range []struct{ name, value string }{
		{"id", string(r.ID)},
		{"service", string(r.Service)},
		{"zone", string(r.Zone)},
		{"addr", r.Addr},
		{"boot", string(r.Boot)},
		{"version", string(r.Version)},
	} {
		if f.name == "version" && f.value == "" {
			continue
		}
		e.FieldStart(f.name)
		e.Str(f.value)
	}
	e.FieldStart("slots")
	e.Int(int(r.Slots))
	if r.Draining {
		e.FieldStart("draining")
		e.Bool(true)
	}
	if r.ColdLeft > 0 {
		e.FieldStart("cold-ms")
		e.Int64(r.ColdLeft.Milliseconds())
	}
	e.ObjEnd()
}

func decodeListDelta(d *jx.Decoder) (listDelta, error) {
	var l listDelta
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "seq":
			l.Seq, err = d.UInt64()
		case "age-ms":
			l.Age, err = decodeMillis(d)
		case "whole":
			l.Complete, err = d.Bool()
		case "changed":
			err = d.Arr(func(d *jx.Decoder) error {
				r, err := decodeRegistration(d)
				l.Changed = append(l.Changed, r)
				return err
			})
		case "removed":
			err = d.Arr(func(d *jx.Decoder) error {
				id, err := d.Str()
				l.Removed = append(l.Removed, fleet.UpstreamID(id))
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	return l, err
}

func decodeRegistration(d *jx.Decoder) (balance.Registration, error) {
	var r balance.Registration
	err := d.Obj(func(d *jx.Decoder, field string) error {
		var err error
		var s string
		switch field {
		case "id", "service", "zone", "addr", "boot", "version":
			s, err = d.Str()
		case "slots":
			var n int
			n, err = d.Int()
			r.Slots = fleet.Slots(n)
		case "draining":
			r.Draining, err = d.Bool()
		case "cold-ms":
			r.ColdLeft, err = decodeMillis(d)
		default:
			err = d.Skip()
		}
		switch field {
		case "id":
			r.ID = fleet.UpstreamID(s)
		case "service":
			r.Service = fleet.ServiceID(s)
		case "zone":
			r.Zone = fleet.ZoneID(s)
		case "addr":
			r.Addr = s
		case "boot":
			r.Boot = fleet.BootID(s)
		case "version":
			r.Version = fleet.VersionID(s)
		}
		return err
	})
	return r, err
}

func decodeMillis(d *jx.Decoder) (time.Duration, error) {
	ms, err := d.Int64()
	if limit := math.MaxInt64 / int64(time.Millisecond); err == nil && (ms > limit || ms < -limit) {
		err = errors.Errorf("want at most %d ms, not %d", limit, ms) // it would overflow
	}
	return time.Duration(ms) * time.Millisecond, err
}
