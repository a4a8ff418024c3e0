package direct

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strings"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// ordersTag returns the part of the tag of the operator state that identifies orders, empty
// if there are none.
func ordersTag(orders map[fleet.ServiceID]rollout.Order) string {
	var tag strings.Builder
	for _, id := range slices.Sorted(maps.Keys(orders)) {
		fmt.Fprintf(&tag, " %s@%d", url.QueryEscape(string(id)), orders[id].Revision)
	}
	return tag.String()
}

func (r report) encodeRollouts(e *jx.Encoder) {
	if r.RolloutSeq > 0 {
		e.FieldStart("rollout-seq")
		e.UInt64(r.RolloutSeq)
	}
	if len(r.Rollouts) == 0 {
		return
	}
	e.FieldStart("rollouts")
	e.ArrStart()
	for _, v := range r.Rollouts {
		v.Encode(e)
	}
	e.ArrEnd()
}

func (r *report) decodeRollouts(d *jx.Decoder, field string) (err error) {
	switch field {
	case "rollout-seq":
		r.RolloutSeq, err = d.UInt64()
	case "rollouts":
		err = d.Arr(func(d *jx.Decoder) error {
			v, err := rollout.DecodeEvidence(d)
			r.Rollouts = append(r.Rollouts, v)
			return err
		})
	}
	return err
}

func (r reply) encodeRollouts(e *jx.Encoder) {
	if len(r.Orders) > 0 {
		e.FieldStart("rollout-orders")
		e.ArrStart()
		for _, id := range slices.Sorted(maps.Keys(r.Orders)) {
			encodeOrder(e, r.Orders[id])
		}
		e.ArrEnd()
	}
	if r.Rollouts == nil {
		return
	}
	e.FieldStart("rollout-seq")
	e.UInt64(r.RolloutSeq)
	e.FieldStart("rollouts")
	e.ArrStart()
	for _, v := range r.Rollouts {
		v.Encode(e)
	}
	e.ArrEnd()
}

func (r *reply) decodeRollouts(d *jx.Decoder, field string) (err error) {
	switch field {
	case "rollout-seq":
		r.RolloutSeq, err = d.UInt64()
	case "rollouts":
		r.Rollouts = []rollout.Directive{}
		err = d.Arr(func(d *jx.Decoder) error {
			v, err := rollout.DecodeDirective(d)
			r.Rollouts = append(r.Rollouts, v)
			return err
		})
	case "rollout-orders":
		r.Orders = make(map[fleet.ServiceID]rollout.Order)
		err = d.Arr(func(d *jx.Decoder) error {
			o, err := decodeOrder(d)
			r.Orders[o.Service] = o
			return err
		})
	}
	return err
}

func encodeOrder(e *jx.Encoder, o rollout.Order) {
	e.ObjStart()
	e.FieldStart("service")
	e.Str(string(o.Service))
	e.FieldStart("target")
	e.Str(string(o.Target))
	e.FieldStart("duration-ms")
	e.Int64(o.Duration.Milliseconds())
	e.FieldStart("order")
	e.UInt64(uint64(o.Revision))
	e.ObjEnd()
}

func decodeOrder(d *jx.Decoder) (rollout.Order, error) {
	var o rollout.Order
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		var s string
		switch field {
		case "service":
			s, err = d.Str()
			o.Service = fleet.ServiceID(s)
		case "target":
			s, err = d.Str()
			o.Target = fleet.VersionID(s)
		case "duration-ms":
			o.Duration, err = decodeMillis(d)
		case "order":
			var revision uint64
			revision, err = d.UInt64()
			o.Revision = fleet.Revision(revision)
		default:
			err = d.Skip()
		}
		return err
	})
	return o, err
}
