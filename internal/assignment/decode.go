package assignment

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Decode parses a record in the format of Encode. It rejects unknown, missing and
// repeated fields, unsorted tables, upstream numbers outside of the upstream
// table, and fences that are not less than next-fence.
func Decode(data []byte) (*Assignment, error) {
	d := &decoder{a: &Assignment{}}
	in := jx.DecodeBytes(data)
	if err := decodeObject(in, map[string]fieldDecoder{
		"next-fence":       func(in *jx.Decoder) error { return decodeUint(in, &d.a.NextFence) },
		"members":          func(in *jx.Decoder) error { return decodeMembers(in, &d.a.Members) },
		"previous-members": func(in *jx.Decoder) error { return decodeMembers(in, &d.a.PreviousMembers) },
		"draining":         d.decodeDraining,
		"upstreams":        d.decodeUpstreams,
		"services":         d.decodeServices,
	}); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	if err := in.Skip(); !errors.Is(err, io.EOF) {
		return nil, errors.New("assignment: unexpected data after the record")
	}
	if err := d.resolveAndValidate(); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	d.a.buildIndex()
	return d.a, nil
}

// upstreamRefs holds the owner and previous owners of a unit as numbers in the
// upstream table. They are resolved after parsing, because the upstream table may
// follow the units.
type upstreamRefs struct {
	owner    int
	previous []int
}

type decoder struct {
	a    *Assignment
	refs []upstreamRefs
}

type fieldDecoder func(in *jx.Decoder) error

// decodeObject reads an object in which each of the fields occurs exactly once.
func decodeObject(in *jx.Decoder, fields map[string]fieldDecoder) error {
	seen := make(map[string]bool, len(fields))
	if err := in.Obj(func(in *jx.Decoder, key string) error {
		read, ok := fields[key]
		switch {
		case !ok:
			return errors.Errorf("unknown field %q", key)
		case seen[key]:
			return errors.Errorf("field %q repeated", key)
		}
		seen[key] = true
		if err := read(in); err != nil {
			return errors.Wrap(err, key)
		}
		return nil
	}); err != nil {
		return err
	}
	for key := range fields {
		if !seen[key] {
			return errors.Errorf("field %q missing", key)
		}
	}
	return nil
}

func decodeString[T ~string](in *jx.Decoder, out *T) error {
	s, err := in.Str()
	*out = T(s)
	return err
}

func decodeUint[T ~uint64](in *jx.Decoder, out *T) error {
	n, err := in.UInt64()
	*out = T(n)
	return err
}

func decodeMembers(in *jx.Decoder, out *[]Member) error {
	return in.Arr(func(in *jx.Decoder) error {
		var m Member
		if err := decodeObject(in, map[string]fieldDecoder{
			"id":      func(in *jx.Decoder) error { return decodeString(in, &m.ID) },
			"boot":    func(in *jx.Decoder) error { return decodeString(in, &m.Boot) },
			"address": func(in *jx.Decoder) error { return decodeString(in, &m.Address) },
			"http":    func(in *jx.Decoder) error { return decodeString(in, &m.ForwardAddress) },
			"zone":    func(in *jx.Decoder) error { return decodeString(in, &m.Zone) },
		}); err != nil {
			return errors.Wrapf(err, "member %d", len(*out))
		}
		if n := len(*out); m.ID == "" || n > 0 && (*out)[n-1].ID >= m.ID {
			return errors.Errorf("member %d: id %q is empty or out of order", n, m.ID)
		}
		*out = append(*out, m)
		return nil
	})
}

func (d *decoder) decodeDraining(in *jx.Decoder) error {
	return in.Arr(func(in *jx.Decoder) error {
		var id fleet.InstanceID
		if err := decodeString(in, &id); err != nil {
			return err
		}
		if n := len(d.a.Draining); id == "" || n > 0 && d.a.Draining[n-1] >= id {
			return errors.Errorf("instance %d: id %q is empty or out of order", n, id)
		}
		d.a.Draining = append(d.a.Draining, id)
		return nil
	})
}

func (d *decoder) decodeUpstreams(in *jx.Decoder) error {
	return in.Arr(func(in *jx.Decoder) error {
		var u Upstream
		n := len(d.a.Upstreams)
		if err := decodeObject(in, map[string]fieldDecoder{
			"id":         func(in *jx.Decoder) error { return decodeString(in, &u.ID) },
			"service":    func(in *jx.Decoder) error { return decodeString(in, &u.Service) },
			"address":    func(in *jx.Decoder) error { return decodeString(in, &u.Address) },
			"zone":       func(in *jx.Decoder) error { return decodeString(in, &u.Zone) },
			"dispatcher": func(in *jx.Decoder) error { return decodeString(in, &u.Dispatcher) },
			"fence":      func(in *jx.Decoder) error { return decodeUint(in, &u.Fence) },
			"state":      func(in *jx.Decoder) error { return decodeString(in, &u.State) },
		}); err != nil {
			return errors.Wrapf(err, "upstream %d", n)
		}
		if u.ID == "" || n > 0 && d.a.Upstreams[n-1].ID >= u.ID {
			return errors.Errorf("upstream %d: id %q is empty or out of order", n, u.ID)
		}
		if u.State != Live && u.State != Leaving && u.State != Lost {
			return errors.Errorf("upstream %s: unknown state %q", u.ID, u.State)
		}
		d.a.Upstreams = append(d.a.Upstreams, u)
		return nil
	})
}

func (d *decoder) decodeServices(in *jx.Decoder) error {
	previousID := fleet.ServiceID("")
	return in.Arr(func(in *jx.Decoder) error {
		var id fleet.ServiceID
		start := len(d.a.Units)
		firstPin := -1
		if err := decodeObject(in, map[string]fieldDecoder{
			"id": func(in *jx.Decoder) error { return decodeString(in, &id) },
			"shards": func(in *jx.Decoder) error {
				err := in.Arr(d.shardDecoder(start))
				firstPin = len(d.a.Units)
				return err
			},
			"pins": func(in *jx.Decoder) error {
				if firstPin < 0 {
					return errors.New("must follow the shards")
				}
				return in.Arr(d.pinDecoder(firstPin))
			},
		}); err != nil {
			return errors.Wrapf(err, "service %q", id)
		}
		if id <= previousID {
			return errors.Errorf("service %q: id is empty or out of order", id)
		}
		if len(d.a.Units) == start {
			return errors.Errorf("service %q has no units", id)
		}
		for i := start; i < len(d.a.Units); i++ {
			d.a.Units[i].Unit.Service = id
		}
		previousID = id
		return nil
	})
}

func (d *decoder) shardDecoder(start int) fieldDecoder {
	return func(in *jx.Decoder) error {
		o := Ownership{Unit: fleet.Unit{Shard: fleet.ShardID(len(d.a.Units) - start)}}
		if err := d.decodeOwnership(in, &o, false); err != nil {
			return errors.Wrapf(err, "shard %d", o.Unit.Shard)
		}
		return nil
	}
}

func (d *decoder) pinDecoder(first int) fieldDecoder {
	return func(in *jx.Decoder) error {
		var o Ownership
		n := len(d.a.Units)
		if err := d.decodeOwnership(in, &o, true); err != nil {
			return errors.Wrapf(err, "pin %d", n-first)
		}
		if o.Unit.Pin == "" || n > first && d.a.Units[n-1].Unit.Pin >= o.Unit.Pin {
			return errors.Errorf("pin %d: key is empty or out of order", n-first)
		}
		return nil
	}
}

// decodeOwnership reads an array of the pin's key (only if pin is set), the owner,
// the fence and the previous owners, and appends the unit to the record.
func (d *decoder) decodeOwnership(in *jx.Decoder, o *Ownership, pin bool) error {
	r := upstreamRefs{owner: noOwner}
	index := 0
	offset := 1
	if pin {
		offset = 0
	}
	if err := in.Arr(func(in *jx.Decoder) (err error) {
		switch index + offset {
		case 0:
			err = decodeString(in, &o.Unit.Pin)
		case 1:
			r.owner, err = in.Int()
		case 2:
			err = decodeUint(in, &o.Fence)
		default:
			var n int
			n, err = in.Int()
			r.previous = append(r.previous, n)
		}
		index++
		return err
	}); err != nil {
		return err
	}
	if index+offset < 3 {
		return errors.New("owner or fence missing")
	}
	d.a.Units = append(d.a.Units, *o)
	d.refs = append(d.refs, r)
	return nil
}

// resolveAndValidate replaces upstream numbers by ids and checks all fences
// against next-fence.
func (d *decoder) resolveAndValidate() error {
	for i := range d.a.Units {
		o, r := &d.a.Units[i], d.refs[i]
		if r.owner != noOwner {
			id, err := d.upstreamID(r.owner)
			if err != nil {
				return errors.Wrapf(err, "unit %s", o.Unit)
			}
			o.Owner = id
		}
		for _, n := range r.previous {
			id, err := d.upstreamID(n)
			if err != nil {
				return errors.Wrapf(err, "unit %s", o.Unit)
			}
			o.Previous = append(o.Previous, id)
		}
		if o.Fence >= d.a.NextFence {
			return errors.Errorf("unit %s: fence %s must be less than next-fence %s", o.Unit, o.Fence, d.a.NextFence)
		}
	}
	for _, u := range d.a.Upstreams {
		if u.Fence >= d.a.NextFence {
			return errors.Errorf("upstream %s: fence %s must be less than next-fence %s", u.ID, u.Fence, d.a.NextFence)
		}
	}
	return nil
}

func (d *decoder) upstreamID(n int) (fleet.UpstreamID, error) {
	if n < 0 || n >= len(d.a.Upstreams) {
		return "", errors.Errorf("no upstream with number %d", n)
	}
	return d.a.Upstreams[n].ID, nil
}
