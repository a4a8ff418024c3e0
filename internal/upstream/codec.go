package upstream

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// controlPath is the prefix of the URL paths of control calls; the kind follows it.
const controlPath = "/control/"

// EncodeCall returns the JSON body of a control call. The body does not contain the
// kind, which is in the URL path.
func EncodeCall(c Call) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("dispatcher-fence", func(e *jx.Encoder) { e.UInt64(uint64(c.DispatcherFence)) })
		switch c.Kind {
		case dispatch.Hello:
			e.Field("instance", func(e *jx.Encoder) { e.Str(string(c.Instance)) })
		case dispatch.Renew:
			e.Field("stamp", func(e *jx.Encoder) { e.Int64(int64(c.Stamp)) })
			e.Field("ttl-ms", func(e *jx.Encoder) { e.Int64(c.TTL.Milliseconds()) })
		default:
			e.Field("grants", func(e *jx.Encoder) { encodeGrants(e, c.Grants) })
		}
	})
	return e.Bytes()
}

func encodeGrants(e *jx.Encoder, grants []fleet.Grant) {
	e.Arr(func(e *jx.Encoder) {
		for _, g := range grants {
			e.Obj(func(e *jx.Encoder) {
				if g.Unit.Pin != "" {
					e.Field("key", func(e *jx.Encoder) { e.Str(string(g.Unit.Pin)) })
				} else {
					e.Field("shard", func(e *jx.Encoder) { e.UInt32(uint32(g.Unit.Shard)) })
				}
				e.Field("fence", func(e *jx.Encoder) { e.UInt64(uint64(g.Fence)) })
			})
		}
	})
}

// DecodeCall decodes the JSON body of a control call. kind and service, which the body
// does not contain, are set in the call and in the units of its grants.
func DecodeCall(kind dispatch.CallKind, service fleet.ServiceID, data []byte) (Call, error) {
	c := Call{Kind: kind}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case "dispatcher-fence":
			return decodeFence(d, &c.DispatcherFence)
		case "instance":
			s, err := d.Str()
			c.Instance = fleet.InstanceID(s)
			return err
		case "stamp":
			n, err := d.Int64()
			c.Stamp = dispatch.Stamp(n)
			return err
		case "ttl-ms":
			n, err := d.Int64()
			c.TTL = time.Duration(n) * time.Millisecond
			return err
		case "grants":
			return d.Arr(func(d *jx.Decoder) error {
				g := fleet.Grant{Unit: fleet.Unit{Service: service}}
				if err := decodeGrant(d, &g); err != nil {
					return errors.Wrapf(err, "grant %d", len(c.Grants))
				}
				c.Grants = append(c.Grants, g)
				return nil
			})
		default:
			return d.Skip()
		}
	})
	if err != nil {
		return Call{}, errors.Wrap(err, kind.String())
	}
	return c, nil
}

func decodeGrant(d *jx.Decoder, g *fleet.Grant) error {
	return d.Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case "shard":
			n, err := d.UInt32()
			g.Unit.Shard = fleet.ShardID(n)
			return err
		case "key":
			s, err := d.Str()
			g.Unit.Pin = fleet.RoutingKey(s)
			return err
		case "fence":
			return decodeFence(d, &g.Fence)
		default:
			return d.Skip()
		}
	})
}

func decodeFence(d *jx.Decoder, f *fleet.Fence) error {
	n, err := d.UInt64()
	*f = fleet.Fence(n)
	return err
}

// EncodeReply returns the JSON body of the response to a control call.
func EncodeReply(r Reply) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("boot", func(e *jx.Encoder) { e.Str(string(r.Boot)) })
		e.Field("stamp", func(e *jx.Encoder) { e.Int64(int64(r.Stamp)) })
		e.Field("fence", func(e *jx.Encoder) { e.UInt64(uint64(r.Fence)) })
		e.Field("running", func(e *jx.Encoder) { e.Int(r.Running) })
	})
	return e.Bytes()
}

// DecodeReply decodes the JSON body of the response to a control call.
func DecodeReply(data []byte) (Reply, error) {
	var r Reply
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, key string) error {
		switch key {
		case "boot":
			s, err := d.Str()
			r.Boot = fleet.BootID(s)
			return err
		case "stamp":
			n, err := d.Int64()
			r.Stamp = dispatch.Stamp(n)
			return err
		case "fence":
			return decodeFence(d, &r.Fence)
		case "running":
			n, err := d.Int()
			r.Running = max(0, n)
			return err
		default:
			return d.Skip()
		}
	})
	if err != nil {
		return Reply{}, errors.Wrap(err, "decode control response")
	}
	return r, nil
}
