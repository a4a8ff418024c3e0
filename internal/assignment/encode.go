package assignment

import (
	"github.com/go-faster/jx"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// none stands for the missing owner where upstreams are given by their number.
const none = -1

// Encode returns the record as kebab-case JSON. Units name upstreams by their
// number in the upstream table: a unit then takes about 12 bytes, so that the
// store's 1 MB hold about 80,000 units.
func (a *Assignment) Encode() []byte {
	e := &encoder{numbers: make(map[fleet.UpstreamID]int, len(a.Upstreams))}
	e.Grow(256 + 128*len(a.Upstreams) + 16*len(a.Units))
	for i, u := range a.Upstreams {
		e.numbers[u.ID] = i
	}
	e.ObjStart()
	e.FieldStart("next-fence")
	e.UInt64(uint64(a.NextFence))
	e.Comma()
	e.members("members", a.Members)
	e.Comma()
	e.members("previous-members", a.PreviousMembers)
	e.Comma()
	e.FieldStart("draining")
	list(e, a.Draining, func(id fleet.InstanceID) { e.Str(string(id)) })
	e.Comma()
	e.FieldStart("upstreams")
	list(e, a.Upstreams, e.upstream)
	e.Comma()
	e.FieldStart("services")
	e.services(a.Units)
	e.ObjEnd()
	return e.Buf
}

type encoder struct {
	jx.Writer
	numbers map[fleet.UpstreamID]int
}

func list[T any](e *encoder, items []T, write func(T)) {
	e.ArrStart()
	for i, x := range items {
		if i > 0 {
			e.Comma()
		}
		write(x)
	}
	e.ArrEnd()
}

// fields writes an object of strings.
func (e *encoder) fields(pairs ...string) {
	for i := 0; i < len(pairs); i += 2 {
		if i > 0 {
			e.Comma()
		}
		e.FieldStart(pairs[i])
		e.Str(pairs[i+1])
	}
}

func (e *encoder) members(name string, members []Member) {
	e.FieldStart(name)
	list(e, members, func(m Member) {
		e.ObjStart()
		e.fields("id", string(m.ID), "boot", string(m.Boot), "address", m.Address, "http", m.HTTP, "zone", string(m.Zone))
		e.ObjEnd()
	})
}

func (e *encoder) upstream(u Upstream) {
	e.ObjStart()
	e.fields("id", string(u.ID), "service", string(u.Service), "address", u.Address, "zone", string(u.Zone),
		"dispatcher", string(u.Dispatcher), "state", string(u.State))
	e.Comma()
	e.FieldStart("fence")
	e.UInt64(uint64(u.Fence))
	e.ObjEnd()
}

func (e *encoder) services(units []Ownership) {
	e.ArrStart()
	for i := 0; i < len(units); {
		if i > 0 {
			e.Comma()
		}
		i += e.service(units[i:])
	}
	e.ArrEnd()
}

// service writes the first service of units and returns how many are its units.
func (e *encoder) service(units []Ownership) int {
	id := units[0].Unit.Service
	var pins, end int
	for end < len(units) && units[end].Unit.Service == id {
		if end++; units[end-1].Unit.Pin == "" {
			pins = end
		}
	}
	e.ObjStart()
	e.fields("id", string(id))
	e.Comma()
	e.FieldStart("shards")
	list(e, units[:pins], func(o Ownership) {
		e.ArrStart()
		e.ownership(o)
		e.ArrEnd()
	})
	e.Comma()
	e.FieldStart("pins")
	list(e, units[pins:end], func(o Ownership) {
		e.ArrStart()
		e.Str(string(o.Unit.Pin))
		e.Comma()
		e.ownership(o)
		e.ArrEnd()
	})
	e.ObjEnd()
	return end
}

// ownership writes owner, fence and previous owners as elements of an array.
func (e *encoder) ownership(o Ownership) {
	e.Int(e.number(o.Owner))
	e.Comma()
	e.UInt64(uint64(o.Fence))
	for _, id := range o.Previous {
		e.Comma()
		e.Int(e.number(id))
	}
}

func (e *encoder) number(id fleet.UpstreamID) int {
	if i, ok := e.numbers[id]; ok {
		return i
	}
	return none
}
