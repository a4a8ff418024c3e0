package operator

import (
	"net/url"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// QueryValues returns q as the URL parameters that ParseQuery reads.
func QueryValues(q Query) url.Values {
	v := url.Values{}
	switch q := q.(type) {
	case KeyQuery:
		v.Set("kind", "key")
		v.Set("service", string(q.Service))
		v.Set("key", string(q.Key))
	case RequestQuery:
		v.Set("kind", "request")
		v.Set("id", string(q.ID))
	case AccountQuery:
		v.Set("kind", "account")
		v.Set("id", string(q.ID))
	}
	return v
}

// ParseQuery returns the query in the URL parameters v: kind=key with service and
// key, kind=request with id, or kind=account with id. It returns an error if the
// kind is unknown or a parameter is missing.
func ParseQuery(v url.Values) (Query, error) {
	requireParams := func(names ...string) error {
		for _, n := range names {
			if v.Get(n) == "" {
				return errors.Errorf("parameter %s is required for kind %s", n, v.Get("kind"))
			}
		}
		return nil
	}
	var q Query
	var err error
	switch kind := v.Get("kind"); kind {
	case "key":
		q, err = KeyQuery{fleet.ServiceID(v.Get("service")), fleet.RoutingKey(v.Get("key"))}, requireParams("service", "key")
	case "request":
		q, err = RequestQuery{fleet.RequestID(v.Get("id"))}, requireParams("id")
	case "account":
		q, err = AccountQuery{fleet.AccountID(v.Get("id"))}, requireParams("id")
	default:
		err = errors.Errorf("parameter kind %q: want key, request or account", kind)
	}
	if err != nil {
		return nil, err
	}
	return q, nil
}

// Encode writes the explanation as JSON.
func (x Explanation) Encode(e *jx.Encoder) {
	encoder{e}.object(func(e encoder) {
		encodeStrings(e, "answered", x.Answered)
		encodeStrings(e, "missing", x.Missing)
		if x.Owner != nil {
			e.FieldStart("owner")
			encodeOwnership(e, *x.Owner)
		}
		encodeList(e, "moves", x.Moves, encodeMove)
		encodeList(e, "refusals", x.Refusals, encodeRefusedRequest)
	})
}

// Decode reads what Encode wrote.
func (x *Explanation) Decode(d *jx.Decoder) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"answered": stringsField(&x.Answered),
		"missing":  stringsField(&x.Missing),
		"owner": func(d *jx.Decoder) error {
			x.Owner = &Ownership{}
			return decodeOwnership(d, x.Owner)
		},
		"moves":    listField(&x.Moves, decodeMove),
		"refusals": listField(&x.Refusals, decodeRefusedRequest),
	})
}

func encodeOwnership(e encoder, o Ownership) {
	e.object(func(e encoder) {
		encodeUnit(e, o.Unit)
		e.text("owner", string(o.Owner))
		e.uint("fence", uint64(o.Fence))
		e.time("since", o.Since)
		e.text("dispatcher", string(o.Dispatcher))
		encodeStrings(e, "previous", o.Previous)
	})
}

func decodeOwnership(d *jx.Decoder, o *Ownership) error {
	return decodeObject(d, unitFields(&o.Unit, map[string]func(*jx.Decoder) error{
		"owner": textField(&o.Owner), "fence": uintField(&o.Fence), "since": timeField(&o.Since),
		"dispatcher": textField(&o.Dispatcher), "previous": stringsField(&o.Previous),
	}))
}

func encodeMove(e encoder, m Move) {
	e.object(func(e encoder) {
		e.time("at", m.At)
		encodeUnit(e, m.Unit)
		e.text("from", string(m.From))
		e.text("to", string(m.To))
		e.uint("fence", uint64(m.Fence))
		e.text("cause", m.Cause)
		e.text("detail", m.Detail)
	})
}

func decodeMove(d *jx.Decoder, m *Move) error {
	return decodeObject(d, unitFields(&m.Unit, map[string]func(*jx.Decoder) error{
		"at": timeField(&m.At), "from": textField(&m.From), "to": textField(&m.To),
		"fence": uintField(&m.Fence), "cause": textField(&m.Cause), "detail": textField(&m.Detail),
	}))
}

func encodeRefusedRequest(e encoder, r RefusedRequest) {
	e.object(func(e encoder) {
		e.time("at", r.At)
		e.text("instance", string(r.Instance))
		e.text("request", string(r.Request))
		e.text("account", string(r.Account))
		e.text("entry", string(r.Entry))
		e.text("key", string(r.Key))
		e.text("reason", string(r.Reason))
		e.text("detail", r.Detail)
	})
}

func decodeRefusedRequest(d *jx.Decoder, r *RefusedRequest) error {
	return decodeObject(d, map[string]func(*jx.Decoder) error{
		"at": timeField(&r.At), "instance": textField(&r.Instance), "request": textField(&r.Request),
		"account": textField(&r.Account), "entry": textField(&r.Entry), "key": textField(&r.Key),
		"reason": textField(&r.Reason), "detail": textField(&r.Detail),
	})
}
