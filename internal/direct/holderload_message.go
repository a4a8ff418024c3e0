package direct

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// holderUpdate is the field "holder-loads" of a reply.
type holderUpdate struct {
	Loads   []reportedLoad
	HotKeys map[fleet.ServiceID][]keyspace.KeyShare
	Age     time.Duration // since the leader computed HotKeys
}

// encodeReportedLoads encodes each load as a list: ID, boot, requests, requests/s and age in ms.
func encodeReportedLoads(e *jx.Encoder, field string, loads []reportedLoad) {
	if len(loads) == 0 {
		return
	}
	e.FieldStart(field)
	e.ArrStart()
	for _, l := range loads {
		e.ArrStart()
		e.Str(string(l.ID))
		e.Str(string(l.Boot))
		e.Int(int(l.Requests))
		e.Float64(l.Rate)
		e.Int64(l.Age.Milliseconds())
		e.ArrEnd()
	}
	e.ArrEnd()
}

func decodeReportedLoads(d *jx.Decoder) ([]reportedLoad, error) {
	var loads []reportedLoad
	err := d.Arr(func(d *jx.Decoder) error {
		l, err := decodeReportedLoad(d)
		loads = append(loads, l)
		return err
	})
	return loads, err
}

func decodeReportedLoad(d *jx.Decoder) (reportedLoad, error) {
	var l reportedLoad
	n := 0
	err := d.Arr(func(d *jx.Decoder) (err error) {
		var s string
		switch n {
		case 0:
			s, err = d.Str()
			l.ID = fleet.UpstreamID(s)
		case 1:
			s, err = d.Str()
			l.Boot = fleet.BootID(s)
		case 2:
			l.Requests, err = d.Float64()
		case 3:
			l.Rate, err = d.Float64()
		case 4:
			l.Age, err = decodeMillis(d)
		default:
			err = d.Skip()
		}
		n++
		return err
	})
	switch {
	case err != nil:
	case n < 5 || l.ID == "":
		err = errors.Errorf("load of a holder: want ID, boot, requests, rate and age, not %d values", n)
	case !(l.Requests >= 0) || !(l.Rate >= 0) || l.Age < 0:
		err = errors.Errorf("load of holder %q: want no negative values", l.ID)
	}
	return l, err
}

// encode writes the field of a reply. Shares are in thousandths.
func (n holderUpdate) encode(e *jx.Encoder) {
	if len(n.Loads)+len(n.HotKeys) == 0 {
		return
	}
	e.FieldStart("holder-loads")
	e.ObjStart()
	encodeReportedLoads(e, "full", n.Loads)
	if len(n.HotKeys) > 0 {
		e.FieldStart("age-ms")
		e.Int64(n.Age.Milliseconds())
		e.FieldStart("hot-keys")
		e.ObjStart()
		for id, shares := range n.HotKeys {
			e.FieldStart(string(id))
			e.ArrStart()
			for _, s := range shares {
				e.UInt64(uint64(s.Key))
				e.Int(int(math.Round(s.Share * 1000)))
			}
			e.ArrEnd()
		}
		e.ObjEnd()
	}
	e.ObjEnd()
}

func decodeHolderUpdate(d *jx.Decoder) (holderUpdate, error) {
	var n holderUpdate
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "full":
			n.Loads, err = decodeReportedLoads(d)
		case "age-ms":
			n.Age, err = decodeMillis(d)
		case "hot-keys":
			n.HotKeys, err = decodeHotKeys(d)
		default:
			err = d.Skip()
		}
		return err
	})
	return n, err
}

func decodeHotKeys(d *jx.Decoder) (map[fleet.ServiceID][]keyspace.KeyShare, error) {
	out := make(map[fleet.ServiceID][]keyspace.KeyShare)
	err := d.Obj(func(d *jx.Decoder, id string) error {
		var values []int
		if err := d.Arr(func(d *jx.Decoder) error {
			v, err := d.Int()
			values = append(values, v)
			return err
		}); err != nil {
			return err
		}
		for ; len(values) >= 2; values = values[2:] {
			if values[0] < 0 || values[0] >= keyspace.Keys || values[1] < 0 || values[1] > 1000 {
				return errors.Errorf("hot keys of service %q: key %d, share %d of 1000", id, values[0], values[1])
			}
			out[fleet.ServiceID(id)] = append(out[fleet.ServiceID(id)], keyspace.KeyShare{Key: keyspace.Key(values[0]), Share: float64(values[1]) / 1000})
		}
		return nil
	})
	return out, err
}
