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

// message is a value that is encoded as a JSON object with kebab-case field names.
// Decoders skip unknown fields, so that instances of different versions can
// communicate during a rolling replacement.
type message interface {
	// encode writes the fields of the object.
	encode(e *jx.Encoder)
	// decode reads the value of the named field.
	decode(d *jx.Decoder, field string) error
}

// marshal returns m as JSON.
func marshal(m message) []byte {
	var e jx.Encoder
	e.Obj(m.encode)
	return e.Bytes()
}

// unmarshal decodes the JSON object data into m. The error names the field.
func unmarshal(data []byte, m message) error {
	return decodeObject(jx.DecodeBytes(data), m.decode)
}

// decodeObject calls decodeField for each field of an object and adds the field's
// name to its error.
func decodeObject(d *jx.Decoder, decodeField func(d *jx.Decoder, name string) error) error {
	return d.Obj(func(d *jx.Decoder, name string) error {
		if err := decodeField(d, name); err != nil {
			return errors.Wrapf(err, "field %q", name)
		}
		return nil
	})
}

func encodeString[T ~string](e *jx.Encoder, name string, v T) {
	e.Field(name, func(e *jx.Encoder) { e.Str(string(v)) })
}

func encodeUnsigned[T ~uint64](e *jx.Encoder, name string, v T) {
	e.Field(name, func(e *jx.Encoder) { e.UInt64(uint64(v)) })
}

func encodeSigned[T ~int64 | ~int](e *jx.Encoder, name string, v T) {
	e.Field(name, func(e *jx.Encoder) { e.Int64(int64(v)) })
}

// encodeMillis writes v in milliseconds, rounded towards zero.
func encodeMillis(e *jx.Encoder, name string, v time.Duration) {
	encodeSigned(e, name, v.Milliseconds())
}

func encodeBool(e *jx.Encoder, name string, v bool) {
	e.Field(name, func(e *jx.Encoder) { e.Bool(v) })
}

func decodeString[T ~string](d *jx.Decoder, v *T) error {
	s, err := d.Str()
	*v = T(s)
	return err
}

func decodeUnsigned[T ~uint64](d *jx.Decoder, v *T) error {
	n, err := d.UInt64()
	*v = T(n)
	return err
}

func decodeSigned[T ~int64 | ~int](d *jx.Decoder, v *T) error {
	n, err := d.Int64()
	*v = T(n)
	return err
}

func decodeMillis(d *jx.Decoder, v *time.Duration) error {
	n, err := d.Int64()
	*v = time.Duration(n) * time.Millisecond
	return err
}

func decodeBool(d *jx.Decoder, v *bool) (err error) {
	*v, err = d.Bool()
	return err
}

func decodeBytes(d *jx.Decoder, v *[]byte) (err error) {
	*v, err = d.Base64()
	return err
}

// decodeList appends the decoded elements of an array to list. The error names
// the index of the element.
func decodeList[T any](d *jx.Decoder, list *[]T, decodeElement func(d *jx.Decoder, v *T) error) error {
	return d.Arr(func(d *jx.Decoder) error {
		var v T
		if err := decodeElement(d, &v); err != nil {
			return errors.Wrapf(err, "element %d", len(*list))
		}
		*list = append(*list, v)
		return nil
	})
}

func encodeKnown(e *jx.Encoder, k authority.Revisions) {
	e.FieldStart("known")
	e.Obj(func(e *jx.Encoder) {
		encodeUnsigned(e, "catalogue", k.Catalogue)
		encodeUnsigned(e, "assignment", k.Assignment)
	})
}

func decodeKnown(d *jx.Decoder, k *authority.Revisions) error {
	return decodeObject(d, func(d *jx.Decoder, name string) error {
		switch name {
		case "catalogue":
			return decodeUnsigned(d, &k.Catalogue)
		case "assignment":
			return decodeUnsigned(d, &k.Assignment)
		default:
			return d.Skip()
		}
	})
}

func (m *PollRequest) encode(e *jx.Encoder) {
	e.FieldStart("from")
	e.Obj(func(e *jx.Encoder) {
		encodeString(e, "id", m.From.ID)
		encodeString(e, "boot", m.From.Boot)
		encodeString(e, "address", m.From.Address)
		encodeString(e, "http", m.From.ForwardAddress)
		encodeString(e, "zone", m.From.Zone)
	})
	encodeString(e, "phase", m.Phase)
	encodeKnown(e, m.Known)
	encodeBool(e, "details", m.Details)
	encodeBool(e, "poll-back", m.PollBack)
}

func (m *PollRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "from":
		return decodeObject(d, func(d *jx.Decoder, name string) error { return decodeMember(d, name, &m.From) })
	case "details":
		return decodeBool(d, &m.Details)
	case "poll-back":
		return decodeBool(d, &m.PollBack)
	case "phase":
		return decodeString(d, &m.Phase)
	case "known":
		return decodeKnown(d, &m.Known)
	default:
		return d.Skip()
	}
}

func decodeMember(d *jx.Decoder, field string, m *assignment.Member) error {
	switch field {
	case "id":
		return decodeString(d, &m.ID)
	case "boot":
		return decodeString(d, &m.Boot)
	case "address":
		return decodeString(d, &m.Address)
	case "http":
		return decodeString(d, &m.ForwardAddress)
	case "zone":
		return decodeString(d, &m.Zone)
	default:
		return d.Skip()
	}
}

func (m *PollAnswer) encode(e *jx.Encoder) {
	encodeString(e, "from", m.From)
	encodeString(e, "boot", m.Boot)
	encodeString(e, "phase", m.Phase)
	encodeKnown(e, m.Known)
	encodeMillis(e, "store-age-ms", m.StoreAge)
	if !m.Details {
		return
	}
	encodeBool(e, "details", true)
	e.FieldStart("heard-ms")
	e.Obj(func(e *jx.Encoder) {
		for id, age := range m.AnswerAges {
			encodeMillis(e, string(id), age)
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
		return decodeString(d, &m.From)
	case "boot":
		return decodeString(d, &m.Boot)
	case "phase":
		return decodeString(d, &m.Phase)
	case "known":
		return decodeKnown(d, &m.Known)
	case "details":
		return decodeBool(d, &m.Details)
	case "store-age-ms":
		return decodeMillis(d, &m.StoreAge)
	case "heard-ms":
		m.AnswerAges = make(map[fleet.InstanceID]time.Duration)
		return decodeObject(d, func(d *jx.Decoder, id string) error {
			var age time.Duration
			err := decodeMillis(d, &age)
			m.AnswerAges[fleet.InstanceID(id)] = age
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
	encodeBool(e, "lost", r.Lost)
	encodeString(e, "boot", r.Boot)
	encodeSigned(e, "limit", r.Limit)
	encodeSigned(e, "slots", r.Slots)
	encodeSigned(e, "in-flight", r.InFlight)
	encodeSigned(e, "queued", r.Queued)
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
				encodeString(e, "key", h.Key)
				e.Field("rate", func(e *jx.Encoder) { e.Float64(h.Rate) })
			})
		}
	})
}

func decodeReport(d *jx.Decoder, field string, r *assignment.Report) (err error) {
	switch field {
	case "lost":
		return decodeBool(d, &r.Lost)
	case "boot":
		return decodeString(d, &r.Boot)
	case "limit":
		return decodeSigned(d, &r.Limit)
	case "slots":
		return decodeSigned(d, &r.Slots)
	case "in-flight":
		return decodeSigned(d, &r.InFlight)
	case "queued":
		return decodeSigned(d, &r.Queued)
	case "load":
		r.Load, err = d.Float64()
		return err
	case "average":
		r.Average, err = d.Float64()
		return err
	case "units":
		return decodeList(d, &r.Units, decodeUnitLoad)
	case "granted":
		return decodeList(d, &r.Granted, decodeGrant)
	case "hot":
		return decodeList(d, &r.Hot, decodeHotKey)
	default:
		return d.Skip()
	}
}

func decodeHotKey(d *jx.Decoder, h *assignment.HotKey) error {
	return decodeObject(d, func(d *jx.Decoder, name string) (err error) {
		switch name {
		case "key":
			return decodeString(d, &h.Key)
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
				encodeUnsigned(e, "fence", g.Fence)
			})
		}
	})
}

func encodeUnit(e *jx.Encoder, u fleet.Unit) {
	encodeString(e, "service", u.Service)
	if u.Pin != "" {
		encodeString(e, "pin", u.Pin)
	} else {
		e.Field("shard", func(e *jx.Encoder) { e.UInt32(uint32(u.Shard)) })
	}
}

func decodeUnit(d *jx.Decoder, field string, u *fleet.Unit) error {
	switch field {
	case "service":
		return decodeString(d, &u.Service)
	case "pin":
		return decodeString(d, &u.Pin)
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
			return decodeUnsigned(d, &g.Fence)
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
	encodeUnsigned(e, "catalogue-revision", m.CatalogueRevision)
	e.Field("catalogue", func(e *jx.Encoder) { e.Base64(m.Catalogue) })
	encodeUnsigned(e, "assignment-revision", m.AssignmentRevision)
	e.Field("assignment", func(e *jx.Encoder) { e.Base64(m.Assignment) })
}

func (m *RecordsAnswer) decode(d *jx.Decoder, field string) error {
	switch field {
	case "catalogue-revision":
		return decodeUnsigned(d, &m.CatalogueRevision)
	case "catalogue":
		return decodeBytes(d, &m.Catalogue)
	case "assignment-revision":
		return decodeUnsigned(d, &m.AssignmentRevision)
	case "assignment":
		return decodeBytes(d, &m.Assignment)
	default:
		return d.Skip()
	}
}

func (m *TokensRequest) encode(e *jx.Encoder) {
	encodeString(e, "holder", m.Holder)
	encodeString(e, "id", m.Call.ID)
	encodeSigned(e, "waiting", m.Call.Waiting)
	encodeSigned(e, "spare", m.Call.Spare)
	e.FieldStart("closed")
	e.Arr(func(e *jx.Encoder) {
		for _, c := range m.Call.Closed {
			e.Obj(func(e *jx.Encoder) {
				encodeUnsigned(e, "lease", c.Lease)
				encodeSigned(e, "unused", c.Unused)
			})
		}
	})
}

func (m *TokensRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "holder":
		return decodeString(d, &m.Holder)
	case "id":
		return decodeString(d, &m.Call.ID)
	case "waiting":
		return decodeSigned(d, &m.Call.Waiting)
	case "spare":
		return decodeSigned(d, &m.Call.Spare)
	case "closed":
		return decodeList(d, &m.Call.Closed, decodeClosed)
	default:
		return d.Skip()
	}
}

func decodeClosed(d *jx.Decoder, c *limit.Closed) error {
	return decodeObject(d, func(d *jx.Decoder, name string) error {
		switch name {
		case "lease":
			return decodeUnsigned(d, &c.Lease)
		case "unused":
			return decodeSigned(d, &c.Unused)
		default:
			return d.Skip()
		}
	})
}

func (m *TokensAnswer) encode(e *jx.Encoder) {
	encodeUnsigned(e, "lease", m.Lease.ID)
	encodeSigned(e, "granted", m.Lease.Granted)
	encodeMillis(e, "ttl-ms", m.Lease.TTL)
	encodeMillis(e, "retry-after-ms", m.Lease.RetryAfter)
}

func (m *TokensAnswer) decode(d *jx.Decoder, field string) error {
	switch field {
	case "lease":
		return decodeUnsigned(d, &m.Lease.ID)
	case "granted":
		return decodeSigned(d, &m.Lease.Granted)
	case "ttl-ms":
		return decodeMillis(d, &m.Lease.TTL)
	case "retry-after-ms":
		return decodeMillis(d, &m.Lease.RetryAfter)
	default:
		return d.Skip()
	}
}

func (m *ReleasedRequest) encode(e *jx.Encoder) {
	encodeString(e, "upstream", m.Upstream)
	encodeUnsigned(e, "assignment", m.Assignment)
	encodeGrants(e, "grants", m.Grants)
}

func (m *ReleasedRequest) decode(d *jx.Decoder, field string) error {
	switch field {
	case "upstream":
		return decodeString(d, &m.Upstream)
	case "assignment":
		return decodeUnsigned(d, &m.Assignment)
	case "grants":
		return decodeList(d, &m.Grants, decodeGrant)
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
	return decodeList(d, &m.Released, decodeBool)
}

func (m *HomeReleaseRequest) encode(e *jx.Encoder) {
	encodeUnsigned(e, "assignment", m.Assignment)
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
		return decodeUnsigned(d, &m.Assignment)
	case "ids":
		return decodeList(d, &m.IDs, decodeString)
	default:
		return d.Skip()
	}
}

func (m *HomeReleaseAnswer) encode(e *jx.Encoder) {
	encodeBool(e, "done", m.Done)
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
		return decodeBool(d, &m.Done)
	case "levels":
		return decodeList(d, &m.Levels, decodeSigned)
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
	return decodeBytes(d, &m.Query)
}

func (m *ExplainAnswer) encode(e *jx.Encoder) {
	e.Field("explanation", func(e *jx.Encoder) { e.Base64(m.Explanation) })
}

func (m *ExplainAnswer) decode(d *jx.Decoder, field string) error {
	if field != "explanation" {
		return d.Skip()
	}
	return decodeBytes(d, &m.Explanation)
}

var _ = []message{
	(*PollRequest)(nil), (*PollAnswer)(nil), (*RecordsRequest)(nil), (*RecordsAnswer)(nil),
	(*TokensRequest)(nil), (*TokensAnswer)(nil), (*ReleasedRequest)(nil), (*ReleasedAnswer)(nil),
	(*HomeReleaseRequest)(nil), (*HomeReleaseAnswer)(nil), (*ExplainRequest)(nil), (*ExplainAnswer)(nil),
}
