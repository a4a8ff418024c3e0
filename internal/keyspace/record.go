package keyspace

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Record is what a leader stores, so that the next one knows who may hold what, and
// a starting instance which others share limits with it.
type Record struct {
	Instances []fleet.Peer // of the fleet; none if they are unknown
	NextFence fleet.Fence
	Services  map[fleet.ServiceID][]RecordPiece
}

// RecordPiece is a span and its holder. Moving says that another upstream may
// still hold the span.
type RecordPiece struct {
	Span
	Holder fleet.UpstreamID
	Boot   fleet.BootID
	Fence  fleet.Fence
	Moving bool
}

// caution is how long the record may say that the former holder of a span still holds
// it although the next one has it. A leader elected meanwhile waits in vain; each
// record is a priced call, and one that a move needs mostly comes before.
const caution = 500 * time.Millisecond

// outdate notes that the record is more cautious than it need be.
func (o *Owner) outdate(now time.Time) {
	if o.outdated.IsZero() {
		o.outdated = now
	}
}

// Save returns the record to store if it changed, and a function to call once it
// is stored.
func (o *Owner) Save(now time.Time) (Record, func(), bool) {
	if !o.dirty && (o.outdated.IsZero() || now.Sub(o.outdated) < caution) {
		return Record{}, nil, false
	}
	o.dirty, o.outdated = false, time.Time{}
	rec := Record{Instances: o.instances, NextFence: o.nextFence, Services: make(map[fleet.ServiceID][]RecordPiece)}
	type version struct {
		p     *piece
		next  *target
		fence fleet.Fence
	}
	var saved []version
	for id, s := range o.services {
		for _, p := range s.pieces {
			saved = append(saved, version{p, p.next, p.fence})
			r := RecordPiece{Span: p.Span, Holder: p.holder, Boot: p.boot, Fence: p.fence, Moving: !p.barred.IsZero()}
			if p.next != nil {
				r = RecordPiece{Span: p.Span, Holder: p.next.holder, Boot: p.next.boot, Fence: p.next.fence, Moving: true}
			}
			rec.Services[id] = append(rec.Services[id], r)
		}
	}
	stored := func() {
		for _, v := range saved {
			if v.p.next == v.next && v.p.fence == v.fence {
				v.p.stored = true
			}
		}
	}
	return rec, stored, true
}

// Map returns the holders as they are recorded. Its term is 0, so that it is older
// than every leader's map.
func (r Record) Map() *Map {
	m := &Map{Version: MapVersion{Seq: 1}, Services: make(map[fleet.ServiceID][]Held)}
	for id, pieces := range r.Services {
		var spans []Held
		for _, p := range pieces {
			h := Held{Span: p.Span}
			if !p.Moving {
				h.Holder = p.Holder
			}
			spans = appendHeld(spans, h)
		}
		m.Services[id] = spans
	}
	return m
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("peers")
	fleet.EncodePeers(&e, r.Instances)
	e.FieldStart("next-fence")
	e.UInt64(uint64(r.NextFence))
	e.FieldStart("services")
	e.ObjStart()
	ids := make([]fleet.ServiceID, 0, len(r.Services))
	for id := range r.Services {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e.FieldStart(string(id))
		e.ArrStart()
		for _, p := range r.Services[id] {
			p.encode(&e)
		}
		e.ArrEnd()
	}
	e.ObjEnd()
	e.ObjEnd()
	return e.Bytes()
}

func (p RecordPiece) encode(e *jx.Encoder) {
	e.ObjStart()
	e.FieldStart("from")
	e.UInt64(uint64(p.From))
	e.FieldStart("to")
	e.UInt64(uint64(p.To))
	e.FieldStart("holder")
	e.Str(string(p.Holder))
	e.FieldStart("boot")
	e.Str(string(p.Boot))
	e.FieldStart("fence")
	e.UInt64(uint64(p.Fence))
	e.FieldStart("moving")
	e.Bool(p.Moving)
	e.ObjEnd()
}

// DecodeRecord parses the stored form and checks that spans cover all keys.
func DecodeRecord(data []byte) (Record, error) {
	r := Record{Services: make(map[fleet.ServiceID][]RecordPiece)}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) error {
		switch field {
		case "peers":
			peers, err := fleet.DecodePeers(d)
			r.Instances = peers
			return err
		case "next-fence":
			n, err := d.UInt64()
			r.NextFence = fleet.Fence(n)
			return err
		case "services":
			return d.Obj(func(d *jx.Decoder, id string) error {
				return d.Arr(func(d *jx.Decoder) error {
					p, err := decodePiece(d)
					r.Services[fleet.ServiceID(id)] = append(r.Services[fleet.ServiceID(id)], p)
					return err
				})
			})
		}
		return d.Skip()
	})
	if err != nil {
		return Record{}, errors.Wrap(err, "ownership record")
	}
	for id, pieces := range r.Services {
		next := 0
		for _, p := range pieces {
			if int(p.From) != next || p.To < p.From {
				return Record{}, errors.Errorf("ownership record: service %q: span %d-%d does not follow key %d", id, p.From, p.To, next-1)
			}
			next = int(p.To) + 1
		}
		if next != Keys {
			return Record{}, errors.Errorf("ownership record: service %q ends at key %d", id, next-1)
		}
	}
	return r, nil
}

func decodePiece(d *jx.Decoder) (RecordPiece, error) {
	var p RecordPiece
	err := d.Obj(func(d *jx.Decoder, field string) error {
		switch field {
		case "from":
			n, err := d.UInt16()
			p.From = Key(n)
			return err
		case "to":
			n, err := d.UInt16()
			p.To = Key(n)
			return err
		case "holder":
			s, err := d.Str()
			p.Holder = fleet.UpstreamID(s)
			return err
		case "boot":
			s, err := d.Str()
			p.Boot = fleet.BootID(s)
			return err
		case "fence":
			n, err := d.UInt64()
			p.Fence = fleet.Fence(n)
			return err
		case "moving":
			b, err := d.Bool()
			p.Moving = b
			return err
		}
		return d.Skip()
	})
	return p, err
}
