package keyspace

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Record is the state that a leader stores. The next leader reads from it which
// upstreams may hold which keys, and a starting instance reads which other instances
// share limits with it.
type Record struct {
	// Era is that of the store when the record was written. A record from an earlier era
	// may lack the last grants and fencing tokens.
	Era       fleet.Era
	Instances []fleet.Peer // of the fleet; empty if unknown
	// FormerLead states that leaders before the one that wrote the record may go on.
	FormerLead bool
	NextFence  fleet.Fence
	Services   map[fleet.ServiceID][]RecordShard
	// Holds is the longest validity of the grants of each service.
	Holds map[fleet.ServiceID]time.Duration
}

// RecordShard is a shard in a Record. Moving means that an upstream other than Holder
// may still hold the span.
type RecordShard struct {
	Span
	Holder fleet.UpstreamID
	Boot   fleet.BootID
	Fence  fleet.Fence
	Moving bool
}

// maxOverstatedTime is how long the stored record may list a span as moving after the
// move is complete. A leader that is elected in this time waits for the former holder
// without need. The delay saves store calls, which are billed: the next move usually
// needs a record before the delay ends.
const maxOverstatedTime = 500 * time.Millisecond

// markOverstated notes that the stored record lists a hold that has ended.
func (co *Coordinator) markOverstated(now time.Time) {
	if co.overstatedSince.IsZero() {
		co.overstatedSince = now
	}
}

// recordEra returns the era that a record states. As long as upstreams may hold keys by
// grants that this leader does not know, it is that of the former record, so that the
// next leader waits for these grants too.
func (co *Coordinator) recordEra(now time.Time) fleet.Era {
	if now.Before(co.unknownHoldsEnd) {
		return co.formerEra
	}
	return co.term.Era()
}

// Save returns the record to store, a function to call once it is stored, and whether
// there is a record to store.
func (co *Coordinator) Save(now time.Time) (Record, func(), bool) {
	if co.inheriting && now.Sub(co.electedAt) < openRecordDelay {
		return Record{}, nil, false // the record would make the next leader wait as long as an earlier one may go on
	}
	era := co.recordEra(now)
	if era == co.savedEra && !co.recordDirty && co.savedFormerLead == co.inheriting && (co.overstatedSince.IsZero() || now.Sub(co.overstatedSince) < maxOverstatedTime) {
		return Record{}, nil, false
	}
	co.recordDirty, co.overstatedSince = false, time.Time{}
	co.savedEra, co.savedFormerLead = era, co.inheriting
	rec := Record{Era: era, Instances: co.instances, FormerLead: co.inheriting, NextFence: co.nextFence, Services: make(map[fleet.ServiceID][]RecordShard), Holds: make(map[fleet.ServiceID]time.Duration)}
	type savedShard struct {
		p     *shard
		next  *transfer
		fence fleet.Fence
	}
	var savedShards []savedShard
	for id, s := range co.services {
		s.savedHold = max(s.hold, s.recordedHold)
		rec.Holds[id] = s.savedHold
		for _, sh := range s.shards {
			savedShards = append(savedShards, savedShard{sh, sh.next, sh.fence})
			r := RecordShard{Span: sh.Span, Holder: sh.holder, Boot: sh.boot, Fence: sh.fence, Moving: !sh.blockedUntil.IsZero()}
			if sh.next != nil {
				r = RecordShard{Span: sh.Span, Holder: sh.next.holder, Boot: sh.next.boot, Fence: sh.next.fence, Moving: true}
			}
			rec.Services[id] = append(rec.Services[id], r)
		}
	}
	markRecorded := func() {
		for id, hold := range rec.Holds {
			co.services[id].recordedHold = hold
		}
		for _, v := range savedShards {
			if v.p.next != v.next || v.p.fence != v.fence {
				continue
			}
			if v.next != nil && !v.p.recorded {
				v.p.nextCall = now
			}
			v.p.recorded = true
		}
	}
	return rec, markRecorded, true
}

// Map returns the holders in r as a map with term 0, which is older than the map of
// any leader.
func (r Record) Map() *Map {
	m := &Map{Version: MapVersion{Seq: 1}, Services: make(map[fleet.ServiceID][]HeldSpan)}
	for id, shards := range r.Services {
		var spans []HeldSpan
		for _, p := range shards {
			span := HeldSpan{Span: p.Span}
			if !p.Moving {
				span.Holder = p.Holder
			}
			spans = appendHeld(spans, span)
		}
		m.Services[id] = spans
	}
	return m
}

// Encode returns r as JSON.
func (r Record) Encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("peers")
	fleet.EncodePeers(&e, r.Instances)
	if r.Era > 0 {
		e.FieldStart("era")
		e.UInt64(uint64(r.Era))
	}
	if r.FormerLead {
		e.FieldStart("former-lead")
		e.Bool(true)
	}
	e.FieldStart("next-fence")
	e.UInt64(uint64(r.NextFence))
	e.FieldStart("holds-ms")
	e.ObjStart()
	for _, id := range slices.Sorted(maps.Keys(r.Holds)) {
		e.FieldStart(string(id))
		e.Int64(r.Holds[id].Milliseconds())
	}
	e.ObjEnd()
	e.FieldStart("services")
	e.ObjStart()
	for _, id := range slices.Sorted(maps.Keys(r.Services)) {
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

func (s RecordShard) encode(e *jx.Encoder) {
	e.ObjStart()
	e.FieldStart("from")
	e.UInt64(uint64(s.From))
	e.FieldStart("to")
	e.UInt64(uint64(s.To))
	e.FieldStart("holder")
	e.Str(string(s.Holder))
	e.FieldStart("boot")
	e.Str(string(s.Boot))
	e.FieldStart("fence")
	e.UInt64(uint64(s.Fence))
	e.FieldStart("moving")
	e.Bool(s.Moving)
	e.ObjEnd()
}

// maxRecordedHold bounds the validity of grants in a record. Platforms allow some seconds.
const maxRecordedHold = time.Minute

// DecodeRecord parses the output of Encode and checks that the spans of each service
// cover all keys in order.
func DecodeRecord(data []byte) (Record, error) {
	r := Record{Services: make(map[fleet.ServiceID][]RecordShard), Holds: make(map[fleet.ServiceID]time.Duration)}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) error {
		switch field {
		case "peers":
			peers, err := fleet.DecodePeers(d)
			r.Instances = peers
			return err
		case "era":
			n, err := d.UInt64()
			r.Era = fleet.Era(n)
			return err
		case "former-lead":
			former, err := d.Bool()
			r.FormerLead = former
			return err
		case "next-fence":
			n, err := d.UInt64()
			r.NextFence = fleet.Fence(n)
			return err
		case "holds-ms":
			return d.Obj(func(d *jx.Decoder, id string) error {
				ms, err := d.Int64()
				if err == nil && (ms < 0 || ms > maxRecordedHold.Milliseconds()) {
					err = errors.Errorf("holds-ms: service %q: want 0 to %d, not %d", id, maxRecordedHold.Milliseconds(), ms)
				}
				r.Holds[fleet.ServiceID(id)] = time.Duration(ms) * time.Millisecond
				return err
			})
		case "services":
			return d.Obj(func(d *jx.Decoder, id string) error {
				return d.Arr(func(d *jx.Decoder) error {
					p, err := decodeRecordShard(d)
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
	for id, shards := range r.Services {
		next := 0
		for _, p := range shards {
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

func decodeRecordShard(d *jx.Decoder) (RecordShard, error) {
	var shard RecordShard
	err := d.Obj(func(d *jx.Decoder, field string) error {
		switch field {
		case "from":
			n, err := d.UInt16()
			shard.From = Key(n)
			return err
		case "to":
			n, err := d.UInt16()
			shard.To = Key(n)
			return err
		case "holder":
			s, err := d.Str()
			shard.Holder = fleet.UpstreamID(s)
			return err
		case "boot":
			s, err := d.Str()
			shard.Boot = fleet.BootID(s)
			return err
		case "fence":
			n, err := d.UInt64()
			shard.Fence = fleet.Fence(n)
			return err
		case "moving":
			b, err := d.Bool()
			shard.Moving = b
			return err
		}
		return d.Skip()
	})
	return shard, err
}
