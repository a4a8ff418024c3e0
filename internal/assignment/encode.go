package assignment

import (
	"github.com/go-faster/jx"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// noOwner is the upstream number that encodes a missing owner.
const noOwner = -1

// Encode returns the record as JSON with kebab-case names. Units refer to
// upstreams by their number in the upstream table. A unit then takes about
// 12 bytes, so about 80,000 units fit the store's limit of 1 MB per record.
func (a *Assignment) Encode() []byte {
	e := &encoder{upstreamNumbers: make(map[fleet.UpstreamID]int, len(a.Upstreams))}
	e.Grow(256 + 128*len(a.Upstreams) + 16*len(a.Units))
	for i, u := range a.Upstreams {
		e.upstreamNumbers[u.ID] = i
	}
	e.ObjStart()
	e.FieldStart("next-fence")
	e.UInt64(uint64(a.NextFence))
	e.Comma()
	e.writeMembers("members", a.Members)
	e.Comma()
	e.writeMembers("previous-members", a.PreviousMembers)
	e.Comma()
	e.FieldStart("draining")
	writeArray(e, a.Draining, func(id fleet.InstanceID) { e.Str(string(id)) })
	e.Comma()
	e.FieldStart("upstreams")
	writeArray(e, a.Upstreams, e.writeUpstream)
	e.Comma()
	e.FieldStart("services")
	e.writeServices(a.Units)
	e.ObjEnd()
	return e.Buf
}

type encoder struct {
	jx.Writer
	upstreamNumbers map[fleet.UpstreamID]int
}

func writeArray[T any](e *encoder, items []T, write func(T)) {
	e.ArrStart()
	for i, x := range items {
		if i > 0 {
			e.Comma()
		}
		write(x)
	}
	e.ArrEnd()
}

// writeStringFields writes fields of an object from alternating names and string
// values.
func (e *encoder) writeStringFields(pairs ...string) {
	for i := 0; i < len(pairs); i += 2 {
		if i > 0 {
			e.Comma()
		}
		e.FieldStart(pairs[i])
		e.Str(pairs[i+1])
	}
}

func (e *encoder) writeMembers(name string, members []Member) {
	e.FieldStart(name)
	writeArray(e, members, func(m Member) {
		e.ObjStart()
		e.writeStringFields("id", string(m.ID), "boot", string(m.Boot), "address", m.Address, "http", m.ForwardAddress, "zone", string(m.Zone))
		e.ObjEnd()
	})
}

func (e *encoder) writeUpstream(u Upstream) {
	e.ObjStart()
	e.writeStringFields("id", string(u.ID), "service", string(u.Service), "address", u.Address, "zone", string(u.Zone),
		"dispatcher", string(u.Dispatcher), "state", string(u.State))
	e.Comma()
	e.FieldStart("fence")
	e.UInt64(uint64(u.Fence))
	e.ObjEnd()
}

func (e *encoder) writeServices(units []Ownership) {
	e.ArrStart()
	for i := 0; i < len(units); {
		if i > 0 {
			e.Comma()
		}
		i += e.writeService(units[i:])
	}
	e.ArrEnd()
}

// writeService writes the first service in units and returns its number of units.
func (e *encoder) writeService(units []Ownership) int {
	id := units[0].Unit.Service
	var firstPin, end int
	for end < len(units) && units[end].Unit.Service == id {
		if end++; units[end-1].Unit.Pin == "" {
			firstPin = end
		}
	}
	e.ObjStart()
	e.writeStringFields("id", string(id))
	e.Comma()
	e.FieldStart("shards")
	writeArray(e, units[:firstPin], func(o Ownership) {
		e.ArrStart()
		e.writeOwnership(o)
		e.ArrEnd()
	})
	e.Comma()
	e.FieldStart("pins")
	writeArray(e, units[firstPin:end], func(o Ownership) {
		e.ArrStart()
		e.Str(string(o.Unit.Pin))
		e.Comma()
		e.writeOwnership(o)
		e.ArrEnd()
	})
	e.ObjEnd()
	return end
}

// writeOwnership writes the owner, the fence and the previous owners as elements
// of the open array.
func (e *encoder) writeOwnership(o Ownership) {
	e.Int(e.upstreamNumber(o.Owner))
	e.Comma()
	e.UInt64(uint64(o.Fence))
	for _, id := range o.Previous {
		e.Comma()
		e.Int(e.upstreamNumber(id))
	}
}

func (e *encoder) upstreamNumber(id fleet.UpstreamID) int {
	if i, ok := e.upstreamNumbers[id]; ok {
		return i
	}
	return noOwner
}
