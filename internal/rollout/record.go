package rollout

import (
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Phase is the progress of a roll-out.
type Phase string

// The phases, in their order. A roll-out that is not final may also be rolled back.
const (
	PhaseWaiting    Phase = "waiting"   // the version has no upstream that may be used
	PhaseProbe      Phase = "probe"     // a small share, while its upstreams are cold
	PhaseMeasure    Phase = "measure"   // the share at which the verdict is made
	PhaseShift      Phase = "shift"     // the version seems good, its share rises
	PhaseFinal      Phase = "final"     // all requests use the version, and the old one finishes its requests
	PhaseCompleted  Phase = "completed" // the old version has no request
	PhaseRolledBack Phase = "rolled-back"
)

var phases = map[Phase]int{PhaseWaiting: 0, PhaseProbe: 1, PhaseMeasure: 2, PhaseShift: 3, PhaseFinal: 4, PhaseCompleted: 5, PhaseRolledBack: 5}

// ended reports whether no further phase follows.
func (p Phase) ended() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Record is the progress of a roll-out in the store, with which another leader continues.
type Record struct {
	Order          Order
	Phase          Phase
	Share          float64       // in PhaseShift
	Elapsed        time.Duration // since the order, when the record was made
	Sent, Arrivals int           // requests to the new version and to the service, then
	Reason         string        // of a rollback
	Settled        bool          // completed, and the target is a version like others
}

// State returns the state that operators see.
func (r Record) State() State {
	switch r.Phase {
	case PhaseCompleted:
		return Completed
	case PhaseRolledBack:
		return RolledBack
	}
	return Running
}

// Status returns the status that operators see.
func (r Record) Status() Status {
	return Status{Service: r.Order.Service, State: r.State(), Target: r.Order.Target}
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	for _, f := range []struct{ name, value string }{
		{"service", string(r.Order.Service)},
		{"target", string(r.Order.Target)},
		{"phase", string(r.Phase)},
		{"reason", r.Reason},
	} {
		e.FieldStart(f.name)
		e.Str(f.value)
	}
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"order", int64(r.Order.Revision)},
		{"duration-ms", r.Order.Duration.Milliseconds()},
		{"elapsed-ms", r.Elapsed.Milliseconds()},
		{"sent", int64(r.Sent)},
		{"arrivals", int64(r.Arrivals)},
	} {
		e.FieldStart(f.name)
		e.Int64(f.value)
	}
	e.FieldStart("share")
	e.Float64(r.Share)
	e.FieldStart("settled")
	e.Bool(r.Settled)
	e.ObjEnd()
	return e.Bytes()
}

// maxRecorded bounds the counts and the times in ms of a record, so that none overflows as a
// time.Duration.
const maxRecorded = math.MaxInt64 / int64(time.Millisecond)

// DecodeRecord parses a record that Encode returned.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		var s string
		var n int64
		switch field {
		case "service", "target", "phase", "reason":
			s, err = d.Str()
		case "order", "duration-ms", "elapsed-ms", "sent", "arrivals":
			n, err = d.Int64()
			if err == nil && (n < 0 || n > maxRecorded && field != "order") {
				err = errors.Errorf("%s: want 0 to %d, not %d", field, int64(maxRecorded), n)
			}
		case "share":
			r.Share, err = d.Float64()
			if err == nil && !(r.Share >= 0 && r.Share <= 1) {
				err = errors.Errorf("want a share from 0 to 1, not %v", r.Share)
			}
		case "settled":
			r.Settled, err = d.Bool()
		default:
			err = d.Skip()
		}
		switch field {
		case "service":
			r.Order.Service = fleet.ServiceID(s)
		case "target":
			r.Order.Target = fleet.VersionID(s)
		case "phase":
			r.Phase = Phase(s)
		case "reason":
			r.Reason = s
		case "order":
			r.Order.Revision = fleet.Revision(n)
		case "duration-ms":
			r.Order.Duration = time.Duration(n) * time.Millisecond
		case "elapsed-ms":
			r.Elapsed = time.Duration(n) * time.Millisecond
		case "sent":
			r.Sent = int(n)
		case "arrivals":
			r.Arrivals = int(n)
		}
		return err
	})
	if _, known := phases[r.Phase]; err == nil && !known {
		err = errors.Errorf("roll-out record: unknown phase %q", r.Phase)
	}
	return r, err
}
