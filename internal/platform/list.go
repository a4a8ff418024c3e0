package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Listed is an entry of the platform's instance list. The list lags behind the
// state of the processes.
type Listed struct {
	Name    string
	Kind    Kind
	Service fleet.ServiceID // service of an upstream; empty for an instance
	Address string
	Zone    fleet.ZoneID
	State   State
	Boot    fleet.BootID
}

// Kind is the kind of a listed process.
type Kind string

// Kinds of listed processes.
const (
	KindUpstream Kind = "upstream"
	KindInstance Kind = "instance"
)

// State tells whether a listed process is about to stop.
type State string

// States of listed processes.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// listTimeout is longer than the read timeout of the store, since the list lags by
// seconds in any case.
const listTimeout = time.Second

// List is a client of the platform's instance list.
type List struct {
	pool *http1.Pool
}

// NewList returns a client of the instance list at addr ("IP:port").
func NewList(client *http1.Client, addr string) *List {
	return &List{pool: client.NewPool(addr, http1.PoolConfig{MaxConns: 4, DialTimeout: dialTimeout})}
}

// Close closes the connections to the list.
func (l *List) Close() { l.pool.Close() }

// Fetch returns the list. The error is a *ThrottledError, a *RejectedError or an
// *UnavailableError.
func (l *List) Fetch(ctx context.Context) ([]Listed, error) {
	res, err := call(ctx, l.pool, listTimeout, &http1.Request{Method: http.MethodGet, Target: "/v1/instances"})
	if err != nil {
		return nil, asUnavailableError(err)
	}
	list, err := DecodeList(res.Body)
	if err != nil {
		return nil, &UnavailableError{Addr: l.pool.Addr(), Err: errors.Wrap(err, "decode the instance list")}
	}
	return list, nil
}

// EncodeList encodes the list in the platform's format.
func EncodeList(list []Listed) []byte {
	var e jx.Encoder
	e.Arr(func(e *jx.Encoder) {
		for _, l := range list {
			EncodeListed(e, l)
		}
	})
	return e.Bytes()
}

// EncodeListed encodes one entry of the list.
func EncodeListed(e *jx.Encoder, l Listed) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("name", func(e *jx.Encoder) { e.Str(l.Name) })
		e.Field("kind", func(e *jx.Encoder) { e.Str(string(l.Kind)) })
		e.Field("service", func(e *jx.Encoder) { e.Str(string(l.Service)) })
		e.Field("address", func(e *jx.Encoder) { e.Str(l.Address) })
		e.Field("zone", func(e *jx.Encoder) { e.Str(string(l.Zone)) })
		e.Field("state", func(e *jx.Encoder) { e.Str(string(l.State)) })
		e.Field("boot", func(e *jx.Encoder) { e.Str(string(l.Boot)) })
	})
}

// DecodeList decodes a list in the platform's format.
func DecodeList(data []byte) (list []Listed, err error) {
	err = jx.DecodeBytes(data).Arr(func(d *jx.Decoder) error {
		l, err := DecodeListed(d)
		if err != nil {
			return errors.Wrapf(err, "entry %d", len(list))
		}
		list = append(list, l)
		return nil
	})
	return list, err
}

// DecodeListed decodes one entry of the list and validates its name, kind and
// state.
func DecodeListed(d *jx.Decoder) (l Listed, err error) {
	err = d.Obj(func(d *jx.Decoder, field string) error {
		target, ok := map[string]*string{
			"name": &l.Name, "kind": (*string)(&l.Kind), "service": (*string)(&l.Service),
			"address": &l.Address, "zone": (*string)(&l.Zone), "state": (*string)(&l.State), "boot": (*string)(&l.Boot),
		}[field]
		if !ok {
			return d.Skip()
		}
		s, err := d.Str()
		*target = s
		return wrapField(err, field)
	})
	if err != nil {
		return l, err
	}
	return l, l.check()
}

func (l Listed) check() error {
	switch {
	case l.Name == "":
		return errors.New("field name is empty")
	case l.Kind != KindUpstream && l.Kind != KindInstance:
		return errors.Errorf("%s: kind %q, want %s or %s", l.Name, l.Kind, KindUpstream, KindInstance)
	case l.State != StateLive && l.State != StateLeaving:
		return errors.Errorf("%s: state %q, want %s or %s", l.Name, l.State, StateLive, StateLeaving)
	}
	return nil
}
