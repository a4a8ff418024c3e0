package peer

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// message is encoded to and decoded from a JSON object with kebab-case names.
// Unknown fields are skipped, so that a newer instance can talk to an older one
// during a rolling replacement.
type message interface {
	encode(e *jx.Encoder)
	decode(d *jx.Decoder, field string) error
}

// marshal returns m as JSON.
func marshal(m message) []byte {
	var e jx.Encoder
	e.Obj(m.encode)
	return e.Bytes()
}

// unmarshal fills m; the error names the field.
func unmarshal(data []byte, m message) error {
	return decodeObject(jx.DecodeBytes(data), m.decode)
}

func decodeObject(d *jx.Decoder, field func(d *jx.Decoder, name string) error) error {
	return d.Obj(func(d *jx.Decoder, name string) error {
		if err := field(d, name); err != nil {
			return errors.Wrapf(err, "field %q", name)
		}
		return nil
	})
}

func str[T ~string](e *jx.Encoder, name string, v T) {
	e.Field(name, func(e *jx.Encoder) { e.Str(string(v)) })
}

func unsigned[T ~uint64](e *jx.Encoder, name string, v T) {
	e.Field(name, func(e *jx.Encoder) { e.UInt64(uint64(v)) })
}

func signed[T ~int64 | ~int](e *jx.Encoder, name string, v T) {
	e.Field(name, func(e *jx.Encoder) { e.Int64(int64(v)) })
}

func millis(e *jx.Encoder, name string, v time.Duration) {
	signed(e, name, v.Milliseconds())
}

func boolean(e *jx.Encoder, name string, v bool) {
	e.Field(name, func(e *jx.Encoder) { e.Bool(v) })
}

func getStr[T ~string](d *jx.Decoder, v *T) error {
	s, err := d.Str()
	*v = T(s)
	return err
}

func getUnsigned[T ~uint64](d *jx.Decoder, v *T) error {
	n, err := d.UInt64()
	*v = T(n)
	return err
}

func getSigned[T ~int64 | ~int](d *jx.Decoder, v *T) error {
	n, err := d.Int64()
	*v = T(n)
	return err
}

func getMillis(d *jx.Decoder, v *time.Duration) error {
	n, err := d.Int64()
	*v = time.Duration(n) * time.Millisecond
	return err
}

func getBool(d *jx.Decoder, v *bool) (err error) {
	*v, err = d.Bool()
	return err
}

func getBytes(d *jx.Decoder, v *[]byte) (err error) {
	*v, err = d.Base64()
	return err
}

func getList[T any](d *jx.Decoder, list *[]T, get func(d *jx.Decoder, v *T) error) error {
	return d.Arr(func(d *jx.Decoder) error {
		var v T
		if err := get(d, &v); err != nil {
			return errors.Wrapf(err, "element %d", len(*list))
		}
		*list = append(*list, v)
		return nil
	})
}

func encodeKnown(e *jx.Encoder, k authority.Known) {
	e.FieldStart("known")
	e.Obj(func(e *jx.Encoder) {
		unsigned(e, "catalogue", k.Catalogue)
		unsigned(e, "assignment", k.Assignment)
	})
}

func decodeKnown(d *jx.Decoder, k *authority.Known) error {
	return decodeObject(d, func(d *jx.Decoder, name string) error {
		switch name {
		case "catalogue":
			return getUnsigned(d, &k.Catalogue)
		case "assignment":
			return getUnsigned(d, &k.Assignment)
		default:
			return d.Skip()
		}
	})
}

func (m *PollRequest) encode(e *jx.Encoder) {
	e.FieldStart("from")
	e.Obj(func(e *jx.Encoder) {
		str(e, "id", m.From.ID)
		str(e, "boot", m.From.Boot)
		str(e, "address", m.From.Address)
		str(e, "http", m.From.HTTP)
		str(e, "zone", m.From.Zone)
	})
	str(e, "phase", m.Phase)
	encodeKnown(e, m.Known)
	boolean(e, "details", m.Details)
	boolean(e, "poll-back", m.PollBack)
}

func (m *PollRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "from":
		return decodeObject(d, func(d *jx.Decoder, name string) error { return decodeMember(d, name, &m.From) })
	case "details":
		return getBool(d, &m.Details)
	case "poll-back":
		return getBool(d, &m.PollBack)
	case "phase":
		return getStr(d, &m.Phase)
	case "known":
		return decodeKnown(d, &m.Known)
	default:
		return d.Skip()
	}
}

func decodeMember(d *jx.Decoder, field string, m *assignment.Member) error {
	switch field {
	case "id":
		return getStr(d, &m.ID)
	case "boot":
		return getStr(d, &m.Boot)
	case "address":
		return getStr(d, &m.Address)
	case "http":
		return getStr(d, &m.HTTP)
	case "zone":
		return getStr(d, &m.Zone)
	default:
		return d.Skip()
	}
}

func (m *PollAnswer) encode(e *jx.Encoder) {
	str(e, "from", m.From)
	str(e, "boot", m.Boot)
	str(e, "phase", m.Phase)
	encodeKnown(e, m.Known)
	millis(e, "store-age-ms", m.StoreAge)
	if !m.Details {
		return
	}
	boolean(e, "details", true)
	e.FieldStart("heard-ms")
	e.Obj(func(e *jx.Encoder) {
		for id, age := range m.Heard {
			millis(e, string(id), age)
		}
	})
	e.FieldStart("reports")
	e.Obj(func(e *jx.Encoder) {
		for id, r := range m.Reports {
			e.FieldStart(string(id))
			e.Obj(func(e *jx.Encoder) { encodeReport(e, r) })
		}
	})
}

func (m *PollAnswer) decode(d *jx.Decoder, field string) error {
	switch field {
	case "from":
		return getStr(d, &m.From)
	case "boot":
		return getStr(d, &m.Boot)
	case "phase":
		return getStr(d, &m.Phase)
	case "known":
		return decodeKnown(d, &m.Known)
	case "details":
		return getBool(d, &m.Details)
	case "store-age-ms":
		return getMillis(d, &m.StoreAge)
	case "heard-ms":
		m.Heard = make(map[fleet.InstanceID]time.Duration)
		return decodeObject(d, func(d *jx.Decoder, id string) error {
			var age time.Duration
			err := getMillis(d, &age)
			m.Heard[fleet.InstanceID(id)] = age
			return err
		})
	case "reports":
		m.Reports = make(map[fleet.UpstreamID]assignment.Report)
		return decodeObject(d, func(d *jx.Decoder, id string) error {
			var r assignment.Report
			err := decodeObject(d, func(d *jx.Decoder, name string) error { return decodeReport(d, name, &r) })
			m.Reports[fleet.UpstreamID(id)] = r
			return err
		})
	default:
		return d.Skip()
	}
}

func encodeReport(e *jx.Encoder, r assignment.Report) {
	boolean(e, "lost", r.Lost)
	str(e, "boot", r.Boot)
	signed(e, "limit", r.Limit)
	signed(e, "slots", r.Slots)
	signed(e, "in-flight", r.InFlight)
	signed(e, "queued", r.Queued)
	e.Field("load", func(e *jx.Encoder) { e.Float64(r.Load) })
	e.Field("average", func(e *jx.Encoder) { e.Float64(r.Average) })
	e.FieldStart("units")
	e.Arr(func(e *jx.Encoder) {
		for _, u := range r.Units {
			e.Obj(func(e *jx.Encoder) {
				encodeUnit(e, u.Unit)
				e.Field("rate", func(e *jx.Encoder) { e.Float64(u.Rate) })
			})
		}
	})
	encodeGrants(e, "granted", r.Granted)
	e.FieldStart("hot")
	e.Arr(func(e *jx.Encoder) {
		for _, h := range r.Hot {
			e.Obj(func(e *jx.Encoder) {
				str(e, "key", h.Key)
				e.Field("rate", func(e *jx.Encoder) { e.Float64(h.Rate) })
			})
		}
	})
}

func decodeReport(d *jx.Decoder, field string, r *assignment.Report) (err error) {
	switch field {
	case "lost":
		return getBool(d, &r.Lost)
	case "boot":
		return getStr(d, &r.Boot)
	case "limit":
		return getSigned(d, &r.Limit)
	case "slots":
		return getSigned(d, &r.Slots)
	case "in-flight":
		return getSigned(d, &r.InFlight)
	case "queued":
		return getSigned(d, &r.Queued)
	case "load":
		r.Load, err = d.Float64()
		return err
	case "average":
		r.Average, err = d.Float64()
		return err
	case "units":
		return getList(d, &r.Units, decodeUnitLoad)
	case "granted":
		return getList(d, &r.Granted, decodeGrant)
	case "hot":
		return getList(d, &r.Hot, decodeHotKey)
	default:
		return d.Skip()
	}
}

func decodeHotKey(d *jx.Decoder, h *assignment.HotKey) error {
	return decodeObject(d, func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "key":
			return getStr(d, &h.Key)
		case "rate":
			h.Rate, err = d.Float64()
			return err
		default:
			return d.Skip()
		}
	})
}

func encodeGrants(e *jx.Encoder, name string, grants []fleet.Grant) {
	e.FieldStart(name)
	e.Arr(func(e *jx.Encoder) {
		for _, g := range grants {
			e.Obj(func(e *jx.Encoder) {
				encodeUnit(e, g.Unit)
				unsigned(e, "fence", g.Fence)
			})
		}
	})
}

func encodeUnit(e *jx.Encoder, u fleet.Unit) {
	str(e, "service", u.Service)
	if u.Pin != "" {
		str(e, "pin", u.Pin)
	} else {
		e.Field("shard", func(e *jx.Encoder) { e.UInt32(uint32(u.Shard)) })
	}
}

func decodeUnit(d *jx.Decoder, field string, u *fleet.Unit) error {
	switch field {
	case "service":
		return getStr(d, &u.Service)
	case "pin":
		return getStr(d, &u.Pin)
	case "shard":
		n, err := d.UInt32()
		u.Shard = fleet.ShardID(n)
		return err
	default:
		return d.Skip()
	}
}

func decodeGrant(d *jx.Decoder, g *fleet.Grant) error {
	return decodeObject(d, func(d *jx.Decoder, name string) error {
		if name == "fence" {
			return getUnsigned(d, &g.Fence)
		}
		return decodeUnit(d, name, &g.Unit)
	})
}

func decodeUnitLoad(d *jx.Decoder, u *assignment.UnitLoad) error {
	return decodeObject(d, func(d *jx.Decoder, name string) (err error) {
		if name == "rate" {
			u.Rate, err = d.Float64()
			return err
		}
		return decodeUnit(d, name, &u.Unit)
	})
}

func (m *RecordsRequest) encode(e *jx.Encoder) { encodeKnown(e, m.Known) }

func (m *RecordsRequest) decode(d *jx.Decoder, field string) error {
	if field != "known" {
		return d.Skip()
	}
	return decodeKnown(d, &m.Known)
}

func (m *RecordsAnswer) encode(e *jx.Encoder) {
	unsigned(e, "catalogue-revision", m.CatalogueRevision)
	e.Field("catalogue", func(e *jx.Encoder) { e.Base64(m.Catalogue) })
	unsigned(e, "assignment-revision", m.AssignmentRevision)
	e.Field("assignment", func(e *jx.Encoder) { e.Base64(m.Assignment) })
}

func (m *RecordsAnswer) decode(d *jx.Decoder, field string) error {
	switch field {
	case "catalogue-revision":
		return getUnsigned(d, &m.CatalogueRevision)
	case "catalogue":
		return getBytes(d, &m.Catalogue)
	case "assignment-revision":
		return getUnsigned(d, &m.AssignmentRevision)
	case "assignment":
		return getBytes(d, &m.Assignment)
	default:
		return d.Skip()
	}
}

func (m *TokensRequest) encode(e *jx.Encoder) {
	str(e, "holder", m.Holder)
	str(e, "id", m.Call.ID)
	signed(e, "waiting", m.Call.Waiting)
	signed(e, "spare", m.Call.Spare)
	e.FieldStart("closed")
	e.Arr(func(e *jx.Encoder) {
		for _, c := range m.Call.Closed {
			e.Obj(func(e *jx.Encoder) {
				unsigned(e, "lease", c.Lease)
				signed(e, "unused", c.Unused)
			})
		}
	})
}

func (m *TokensRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "holder":
		return getStr(d, &m.Holder)
	case "id":
		return getStr(d, &m.Call.ID)
	case "waiting":
		return getSigned(d, &m.Call.Waiting)
	case "spare":
		return getSigned(d, &m.Call.Spare)
	case "closed":
		return getList(d, &m.Call.Closed, decodeClosed)
	default:
		return d.Skip()
	}
}

func decodeClosed(d *jx.Decoder, c *limit.Closed) error {
	return decodeObject(d, func(d *jx.Decoder, name string) error {
		switch name {
		case "lease":
			return getUnsigned(d, &c.Lease)
		case "unused":
			return getSigned(d, &c.Unused)
		default:
			return d.Skip()
		}
	})
}

func (m *TokensAnswer) encode(e *jx.Encoder) {
	unsigned(e, "lease", m.Lease.ID)
	signed(e, "granted", m.Lease.Granted)
	millis(e, "ttl-ms", m.Lease.TTL)
	millis(e, "retry-after-ms", m.Lease.RetryAfter)
}

func (m *TokensAnswer) decode(d *jx.Decoder, field string) error {
	switch field {
	case "lease":
		return getUnsigned(d, &m.Lease.ID)
	case "granted":
		return getSigned(d, &m.Lease.Granted)
	case "ttl-ms":
		return getMillis(d, &m.Lease.TTL)
	case "retry-after-ms":
		return getMillis(d, &m.Lease.RetryAfter)
	default:
		return d.Skip()
	}
}

func (m *ReleasedRequest) encode(e *jx.Encoder) {
	str(e, "upstream", m.Upstream)
	unsigned(e, "assignment", m.Assignment)
	encodeGrants(e, "grants", m.Grants)
}

func (m *ReleasedRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "upstream":
		return getStr(d, &m.Upstream)
	case "assignment":
		return getUnsigned(d, &m.Assignment)
	case "grants":
		return getList(d, &m.Grants, decodeGrant)
	default:
		return d.Skip()
	}
}

func (m *ReleasedAnswer) encode(e *jx.Encoder) {
	e.FieldStart("released")
	e.Arr(func(e *jx.Encoder) {
		for _, r := range m.Released {
			e.Bool(r)
		}
	})
}

func (m *ReleasedAnswer) decode(d *jx.Decoder, field string) error {
	if field != "released" {
		return d.Skip()
	}
	return getList(d, &m.Released, getBool)
}

func (m *HomeReleaseRequest) encode(e *jx.Encoder) {
	unsigned(e, "assignment", m.Assignment)
	e.FieldStart("ids")
	e.Arr(func(e *jx.Encoder) {
		for _, id := range m.IDs {
			e.Str(string(id))
		}
	})
}

func (m *HomeReleaseRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "assignment":
		return getUnsigned(d, &m.Assignment)
	case "ids":
		return getList(d, &m.IDs, getStr)
	default:
		return d.Skip()
	}
}

func (m *HomeReleaseAnswer) encode(e *jx.Encoder) {
	boolean(e, "done", m.Done)
	e.FieldStart("levels")
	e.Arr(func(e *jx.Encoder) {
		for _, n := range m.Levels {
			e.Int64(int64(n))
		}
	})
}

func (m *HomeReleaseAnswer) decode(d *jx.Decoder, field string) error {
	switch field {
	case "done":
		return getBool(d, &m.Done)
	case "levels":
		return getList(d, &m.Levels, getSigned)
	default:
		return d.Skip()
	}
}

func (m *ExplainRequest) encode(e *jx.Encoder) {
	e.Field("query", func(e *jx.Encoder) { e.Base64(m.Query) })
}

func (m *ExplainRequest) decode(d *jx.Decoder, field string) error {
	if field != "query" {
		return d.Skip()
	}
	return getBytes(d, &m.Query)
}

func (m *ExplainAnswer) encode(e *jx.Encoder) {
	e.Field("explanation", func(e *jx.Encoder) { e.Base64(m.Explanation) })
}

func (m *ExplainAnswer) decode(d *jx.Decoder, field string) error {
	if field != "explanation" {
		return d.Skip()
	}
	return getBytes(d, &m.Explanation)
}

var _ = []message{
	(*PollRequest)(nil), (*PollAnswer)(nil), (*RecordsRequest)(nil), (*RecordsAnswer)(nil),
	(*TokensRequest)(nil), (*TokensAnswer)(nil), (*ReleasedRequest)(nil), (*ReleasedAnswer)(nil),
	(*HomeReleaseRequest)(nil), (*HomeReleaseAnswer)(nil), (*ExplainRequest)(nil), (*ExplainAnswer)(nil),
}
