package operator

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// JSON field names are in kebab case. Encoders omit fields with zero values, and
// decoders skip unknown fields, so that instances and clients of adjacent versions
// are compatible.

// encoder writes the fields of JSON objects. Its methods omit zero values.
type encoder struct{ *jx.Encoder }

func (e encoder) text(name, v string) {
	if v != "" {
		e.FieldStart(name)
		e.Str(v)
	}
}

func (e encoder) uint(name string, v uint64) {
	if v != 0 {
		e.FieldStart(name)
		e.UInt64(v)
	}
}

func (e encoder) int(name string, v int) {
	if v != 0 {
		e.FieldStart(name)
		e.Int(v)
	}
}

func (e encoder) bool(name string, v bool) {
	if v {
		e.FieldStart(name)
		e.Bool(v)
	}
}

func (e encoder) time(name string, v time.Time) {
	if !v.IsZero() {
		e.text(name, v.UTC().Format(time.RFC3339Nano))
	}
}

func encodeList[T any](e encoder, name string, in []T, f func(encoder, T)) {
	if len(in) == 0 {
		return
	}
	e.FieldStart(name)
	e.ArrStart()
	for _, v := range in {
		f(e, v)
	}
	e.ArrEnd()
}

func encodeStrings[T ~string](e encoder, name string, in []T) {
	encodeList(e, name, in, func(e encoder, v T) { e.Str(string(v)) })
}

// object writes an object whose fields f writes.
func (e encoder) object(f func(encoder)) {
	e.ObjStart()
	f(e)
	e.ObjEnd()
}

// decodeObject calls the decoder of each known field, by name, and skips the
// others. The error names the field.
func decodeObject(d *jx.Decoder, fields map[string]func(*jx.Decoder) error) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		f, ok := fields[key]
		if !ok {
			return d.Skip()
		}
		if err := f(d); err != nil {
			return errors.Wrapf(err, "field %q", key)
		}
		return nil
	})
}

func textField[T ~string](v *T) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		s, err := d.Str()
		*v = T(s)
		return err
	}
}

func uintField[T ~uint64](v *T) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		n, err := d.UInt64()
		*v = T(n)
		return err
	}
}

func intField[T ~int](v *T) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		n, err := d.Int()
		*v = T(n)
		return err
	}
}

func boolField(v *bool) func(*jx.Decoder) error {
	return func(d *jx.Decoder) (err error) {
		*v, err = d.Bool()
		return err
	}
}

func timeField(v *time.Time) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		s, err := d.Str()
		if err != nil {
			return err
		}
		at, err := time.Parse(time.RFC3339Nano, s)
		*v = at.UTC()
		return err
	}
}

func listField[T any](v *[]T, f func(*jx.Decoder, *T) error) func(*jx.Decoder) error {
	return func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			var e T
			if err := f(d, &e); err != nil {
				return errors.Wrapf(err, "element %d", len(*v))
			}
			*v = append(*v, e)
			return nil
		})
	}
}

func stringsField[T ~string](v *[]T) func(*jx.Decoder) error {
	return listField(v, func(d *jx.Decoder, s *T) error { return textField(s)(d) })
}

// Encode writes the progress as JSON.
func (p Progress) Encode(e *jx.Encoder) {
	encoder{e}.object(func(e encoder) {
		e.uint("revision", uint64(p.Revision))
		e.time("accepted", p.Accepted)
		e.int("learned", p.Learned)
		e.int("members", p.Members)
		e.bool("in-force", p.InForce)
		e.time("since", p.Since)
	})
}

// Decode reads what Encode wrote.
func (p *Progress) Decode(d *jx.Decoder) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"revision": uintField(&p.Revision),
		"accepted": timeField(&p.Accepted),
		"learned":  intField(&p.Learned),
		"members":  intField(&p.Members),
		"in-force": boolField(&p.InForce),
		"since":    timeField(&p.Since),
	})
}

// Encode writes the status and its alarms as JSON. The alarms are for other
// programs that read the API; Decode ignores them, because Alarms derives them from
// the other fields.
func (s Status) Encode(e *jx.Encoder) {
	encoder{e}.object(func(e encoder) {
		e.text("instance", string(s.Instance))
		e.text("zone", string(s.Zone))
		e.text("boot", string(s.Boot))
		e.time("now", s.Now)
		e.time("authority-until", s.AuthorityUntil)
		e.time("store-answered", s.StoreAnswered)
		e.uint("catalogue-revision", uint64(s.CatalogueRevision))
		e.uint("assignment-revision", uint64(s.AssignmentRevision))
		e.text("planner", string(s.Planner))
		encodeList(e, "members", s.Members, encodeMember)
		encodeList(e, "upstreams", s.Upstreams, encodeUpstream)
		encodeList(e, "out-of-service", s.OutOfService, encodeOutage)
		encodeList(e, "alarms", s.Alarms(), func(e encoder, a Alarm) {
			e.object(func(e encoder) {
				e.text("name", string(a.Name))
				e.text("detail", a.Detail)
			})
		})
	})
}

// Decode reads what Encode wrote.
func (s *Status) Decode(d *jx.Decoder) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"instance":            textField(&s.Instance),
		"zone":                textField(&s.Zone),
		"boot":                textField(&s.Boot),
		"now":                 timeField(&s.Now),
		"authority-until":     timeField(&s.AuthorityUntil),
		"store-answered":      timeField(&s.StoreAnswered),
		"catalogue-revision":  uintField(&s.CatalogueRevision),
		"assignment-revision": uintField(&s.AssignmentRevision),
		"planner":             textField(&s.Planner),
		"members":             listField(&s.Members, decodeMember),
		"upstreams":           listField(&s.Upstreams, decodeUpstream),
		"out-of-service":      listField(&s.OutOfService, decodeOutage),
	})
}

func encodeMember(e encoder, m MemberStatus) {
	e.object(func(e encoder) {
		e.text("id", string(m.ID))
		e.text("zone", string(m.Zone))
		e.text("address", m.Address)
		e.time("heard", m.LastAnswer)
	})
}

func decodeMember(d *jx.Decoder, m *MemberStatus) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"id": textField(&m.ID), "zone": textField(&m.Zone), "address": textField(&m.Address), "heard": timeField(&m.LastAnswer),
	})
}

func encodeUpstream(e encoder, u UpstreamStatus) {
	e.object(func(e encoder) {
		e.text("id", string(u.ID))
		e.text("service", string(u.Service))
		e.text("zone", string(u.Zone))
		e.text("dispatcher", string(u.Dispatcher))
		e.text("state", u.State)
		e.bool("known", u.Known)
		e.int("limit", int(u.Limit))
		e.int("slots", int(u.Slots))
		e.int("in-flight", int(u.InFlight))
		e.int("queued", u.Queued)
	})
}

func decodeUpstream(d *jx.Decoder, u *UpstreamStatus) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"id": textField(&u.ID), "service": textField(&u.Service), "zone": textField(&u.Zone),
		"dispatcher": textField(&u.Dispatcher), "state": textField(&u.State), "known": boolField(&u.Known),
		"limit": intField(&u.Limit), "slots": intField(&u.Slots),
		"in-flight": intField(&u.InFlight), "queued": intField(&u.Queued),
	})
}

func encodeOutage(e encoder, o catalogue.Outage) {
	e.object(func(e encoder) {
		e.text("kind", string(o.Kind))
		e.text("name", o.Name)
		e.text("by", o.By)
		e.time("at", o.At)
	})
}

func decodeOutage(d *jx.Decoder, o *catalogue.Outage) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"kind": textField(&o.Kind), "name": textField(&o.Name), "by": textField(&o.By), "at": timeField(&o.At),
	})
}

func encodeUnit(e encoder, u fleet.Unit) {
	e.text("service", string(u.Service))
	if u.Pin != "" {
		e.text("pin", string(u.Pin))
	} else {
		e.FieldStart("shard")
		e.UInt32(uint32(u.Shard))
	}
}

func unitFields(u *fleet.Unit, fields map[string]func(*jx.Decoder) error) map[string]func(*jx.Decoder) error {
	fields["service"] = textField(&u.Service)
	fields["pin"] = textField(&u.Pin)
	fields["shard"] = func(d *jx.Decoder) error {
		n, err := d.UInt32()
		u.Shard = fleet.ShardID(n)
		return err
	}
	return fields
}
