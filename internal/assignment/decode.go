package assignment

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Decode parses the form that Encode writes. It refuses unknown, missing and
// repeated fields, tables out of order, numbers of absent upstreams and fences
// that the counter has not reached.
func Decode(data []byte) (*Assignment, error) {
	d := &decoder{a: &Assignment{}}
	in := jx.DecodeBytes(data)
	if err := object(in, map[string]field{
		"next-fence":       func(in *jx.Decoder) error { return number(in, &d.a.NextFence) },
		"members":          func(in *jx.Decoder) error { return members(in, &d.a.Members) },
		"previous-members": func(in *jx.Decoder) error { return members(in, &d.a.PreviousMembers) },
		"draining":         d.draining,
		"upstreams":        d.upstreams,
		"services":         d.services,
	}); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	if err := in.Skip(); !errors.Is(err, io.EOF) {
		return nil, errors.New("assignment: data after the end")
	}
	if err := d.check(); err != nil {
		return nil, errors.Wrap(err, "assignment")
	}
	d.a.index()
	return d.a, nil
}

// ref is a unit's owner and previous owners by number. They are resolved last,
// because the upstream table may follow the units.
type ref struct {
	owner    int
	previous []int
}

type decoder struct {
	a    *Assignment
	refs []ref
}

type field func(in *jx.Decoder) error

// object reads an object that has each of the fields once.
func object(in *jx.Decoder, fields map[string]field) error {
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

func text[T ~string](in *jx.Decoder, out *T) error {
	s, err := in.Str()
	*out = T(s)
	return err
}

func number[T ~uint64](in *jx.Decoder, out *T) error {
	n, err := in.UInt64()
	*out = T(n)
	return err
}

func members(in *jx.Decoder, out *[]Member) error {
	return in.Arr(func(in *jx.Decoder) error {
		var m Member
		if err := object(in, map[string]field{
			"id":      func(in *jx.Decoder) error { return text(in, &m.ID) },
			"boot":    func(in *jx.Decoder) error { return text(in, &m.Boot) },
			"address": func(in *jx.Decoder) error { return text(in, &m.Address) },
			"http":    func(in *jx.Decoder) error { return text(in, &m.HTTP) },
			"zone":    func(in *jx.Decoder) error { return text(in, &m.Zone) },
		}); err != nil {
			return errors.Wrapf(err, "member %d", len(*out))
		}
		if n := len(*out); m.ID == "" || n > 0 && (*out)[n-1].ID >= m.ID {
			return errors.Errorf("member %d: id %q out of order", n, m.ID)
		}
		*out = append(*out, m)
		return nil
	})
}

func (d *decoder) draining(in *jx.Decoder) error {
	return in.Arr(func(in *jx.Decoder) error {
		var id fleet.InstanceID
		if err := text(in, &id); err != nil {
			return err
		}
		if n := len(d.a.Draining); id == "" || n > 0 && d.a.Draining[n-1] >= id {
			return errors.Errorf("instance %d: id %q out of order", n, id)
		}
		d.a.Draining = append(d.a.Draining, id)
		return nil
	})
}

func (d *decoder) upstreams(in *jx.Decoder) error {
	return in.Arr(func(in *jx.Decoder) error {
		var u Upstream
		n := len(d.a.Upstreams)
		if err := object(in, map[string]field{
			"id":         func(in *jx.Decoder) error { return text(in, &u.ID) },
			"service":    func(in *jx.Decoder) error { return text(in, &u.Service) },
			"address":    func(in *jx.Decoder) error { return text(in, &u.Address) },
			"zone":       func(in *jx.Decoder) error { return text(in, &u.Zone) },
			"dispatcher": func(in *jx.Decoder) error { return text(in, &u.Dispatcher) },
			"fence":      func(in *jx.Decoder) error { return number(in, &u.Fence) },
			"state":      func(in *jx.Decoder) error { return text(in, &u.State) },
		}); err != nil {
			return errors.Wrapf(err, "upstream %d", n)
		}
		if u.ID == "" || n > 0 && d.a.Upstreams[n-1].ID >= u.ID {
			return errors.Errorf("upstream %d: id %q out of order", n, u.ID)
		}
		if u.State != Live && u.State != Leaving && u.State != Lost {
			return errors.Errorf("upstream %s: unknown state %q", u.ID, u.State)
		}
		d.a.Upstreams = append(d.a.Upstreams, u)
		return nil
	})
}

func (d *decoder) services(in *jx.Decoder) error {
	last := fleet.ServiceID("")
	return in.Arr(func(in *jx.Decoder) error {
		var id fleet.ServiceID
		start := len(d.a.Units)
		shards := -1
		if err := object(in, map[string]field{
			"id": func(in *jx.Decoder) error { return text(in, &id) },
			"shards": func(in *jx.Decoder) error {
				err := in.Arr(d.shard(start))
				shards = len(d.a.Units)
				return err
			},
			"pins": func(in *jx.Decoder) error {
				if shards < 0 {
					return errors.New("before the shards")
				}
				return in.Arr(d.pin(shards))
			},
		}); err != nil {
			return errors.Wrapf(err, "service %q", id)
		}
		if id <= last {
			return errors.Errorf("service %q out of order", id)
		}
		if len(d.a.Units) == start {
			return errors.Errorf("service %q without units", id)
		}
		for i := start; i < len(d.a.Units); i++ {
			d.a.Units[i].Unit.Service = id
		}
		last = id
		return nil
	})
}

func (d *decoder) shard(start int) field {
	return func(in *jx.Decoder) error {
		o := Ownership{Unit: fleet.Unit{Shard: fleet.ShardID(len(d.a.Units) - start)}}
		if err := d.ownership(in, &o, false); err != nil {
			return errors.Wrapf(err, "shard %d", o.Unit.Shard)
		}
		return nil
	}
}

func (d *decoder) pin(first int) field {
	return func(in *jx.Decoder) error {
		var o Ownership
		n := len(d.a.Units)
		if err := d.ownership(in, &o, true); err != nil {
			return errors.Wrapf(err, "pin %d", n-first)
		}
		if o.Unit.Pin == "" || n > first && d.a.Units[n-1].Unit.Pin >= o.Unit.Pin {
			return errors.Errorf("pin %d: key out of order", n-first)
		}
		return nil
	}
}

// ownership reads an array of the key of a pin, owner, fence and previous owners.
func (d *decoder) ownership(in *jx.Decoder, o *Ownership, pin bool) error {
	r := ref{owner: none}
	elems := 0
	skip := 1
	if pin {
		skip = 0
	}
	if err := in.Arr(func(in *jx.Decoder) (err error) {
		switch elems + skip {
		case 0:
			err = text(in, &o.Unit.Pin)
		case 1:
			r.owner, err = in.Int()
		case 2:
			err = number(in, &o.Fence)
		default:
			var n int
			n, err = in.Int()
			r.previous = append(r.previous, n)
		}
		elems++
		return err
	}); err != nil {
		return err
	}
	if elems+skip < 3 {
		return errors.New("owner or fence missing")
	}
	d.a.Units = append(d.a.Units, *o)
	d.refs = append(d.refs, r)
	return nil
}

// check resolves the numbers of upstreams and verifies what spans tables.
func (d *decoder) check() error {
	for i := range d.a.Units {
		o, r := &d.a.Units[i], d.refs[i]
		if r.owner != none {
			id, err := d.resolve(r.owner)
			if err != nil {
				return errors.Wrapf(err, "unit %s", o.Unit)
			}
			o.Owner = id
		}
		for _, n := range r.previous {
			id, err := d.resolve(n)
			if err != nil {
				return errors.Wrapf(err, "unit %s", o.Unit)
			}
			o.Previous = append(o.Previous, id)
		}
		if o.Fence >= d.a.NextFence {
			return errors.Errorf("unit %s: fence %s is not below the next one, %s", o.Unit, o.Fence, d.a.NextFence)
		}
	}
	for _, u := range d.a.Upstreams {
		if u.Fence >= d.a.NextFence {
			return errors.Errorf("upstream %s: fence %s is not below the next one, %s", u.ID, u.Fence, d.a.NextFence)
		}
	}
	return nil
}

func (d *decoder) resolve(n int) (fleet.UpstreamID, error) {
	if n < 0 || n >= len(d.a.Upstreams) {
		return "", errors.Errorf("no upstream %d", n)
	}
	return d.a.Upstreams[n].ID, nil
}
