package report

import (
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Names of files in the directory of a run.
const (
	RunFile = "run.json"    // the encoded Run
	File    = "report.json" // the encoded Report
)

// Run describes the fleet, the limits and the events of a run.
type Run struct {
	Name      string
	Services  []fleet.ServiceID
	Upstreams []Upstream
	Entries   []Entry
	Accounts  []Account
	Events    []Event // sorted by time
}

// Upstream is an upstream of the fleet.
type Upstream struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceID
	Zone    fleet.ZoneID
}

// Entry is a catalogue entry that requests used.
type Entry struct {
	ID      fleet.EntryID
	Service fleet.ServiceID
	Class   catalogue.Class
	Limit   fleet.Limit
	Weight  float64 // weight of one request in the service figure
}

// Account is a client account that sent requests.
type Account struct {
	ID    fleet.AccountID
	Limit fleet.Limit
}

// Event is a change of the fleet during the run.
type Event struct {
	At   time.Time
	Kind EventKind
	Name string // name of the upstream or zone
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	UpstreamLost EventKind = "upstream-lost"
	ZoneOut      EventKind = "zone-out" // time at which the edit came into force
	ZoneIn       EventKind = "zone-in"  // time at which the edit was submitted
)

// Write writes the description of the run into the file RunFile in dir.
func (r Run) Write(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, RunFile), r.encode(), 0o644); err != nil {
		return errors.Wrap(err, "write run description")
	}
	return nil
}

func (r Run) encode() []byte {
	var e jx.Encoder
	e.SetIdent(1)
	stringField := func(name, v string) { e.Field(name, func(e *jx.Encoder) { e.Str(v) }) }
	limitFields := func(l fleet.Limit) {
		e.Field("rate", func(e *jx.Encoder) { e.Float64(float64(l.Rate)) })
		e.Field("burst", func(e *jx.Encoder) { e.Int64(int64(l.Burst)) })
	}
	arrayField := func(name string, n int, item func(i int)) {
		e.Field(name, func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for i := range n {
					e.Obj(func(*jx.Encoder) { item(i) })
				}
			})
		})
	}
	e.Obj(func(*jx.Encoder) {
		stringField("name", r.Name)
		arrayField("services", len(r.Services), func(i int) { stringField("id", string(r.Services[i])) })
		arrayField("upstreams", len(r.Upstreams), func(i int) {
			u := r.Upstreams[i]
			stringField("id", string(u.ID))
			stringField("service", string(u.Service))
			stringField("zone", string(u.Zone))
		})
		arrayField("entries", len(r.Entries), func(i int) {
			t := r.Entries[i]
			stringField("id", string(t.ID))
			stringField("service", string(t.Service))
			stringField("class", string(t.Class))
			limitFields(t.Limit)
			e.Field("weight", func(e *jx.Encoder) { e.Float64(t.Weight) })
		})
		arrayField("accounts", len(r.Accounts), func(i int) {
			stringField("id", string(r.Accounts[i].ID))
			limitFields(r.Accounts[i].Limit)
		})
		arrayField("events", len(r.Events), func(i int) {
			v := r.Events[i]
			e.Field("at", func(e *jx.Encoder) { e.Int64(v.At.UnixNano()) })
			stringField("kind", string(v.Kind))
			stringField("name", v.Name)
		})
	})
	return e.Bytes()
}

// fields holds the members of a JSON object of strings and numbers. Integers are
// in both floats and ints.
type fields struct {
	texts  map[string]string
	floats map[string]float64
	ints   map[string]int64
}

func decodeFields(d *jx.Decoder) (fields, error) {
	f := fields{texts: make(map[string]string), floats: make(map[string]float64), ints: make(map[string]int64)}
	err := d.Obj(func(d *jx.Decoder, name string) error {
		if d.Next() != jx.Number {
			s, err := d.Str()
			f.texts[name] = s
			return err
		}
		n, err := d.Num()
		if err != nil {
			return err
		}
		if f.floats[name], err = n.Float64(); err != nil {
			return err
		}
		if n.IsInt() {
			f.ints[name], err = n.Int64()
		}
		return err
	})
	return f, err
}

func (f fields) limit() fleet.Limit {
	return fleet.Limit{Rate: fleet.PerSecond(f.floats["rate"]), Burst: fleet.Tokens(f.floats["burst"])}
}

func decodeRun(data []byte) (r Run, err error) {
	appendTo := map[string]func(f fields){
		"services": func(f fields) { r.Services = append(r.Services, fleet.ServiceID(f.texts["id"])) },
		"upstreams": func(f fields) {
			r.Upstreams = append(r.Upstreams, Upstream{
				ID: fleet.UpstreamID(f.texts["id"]), Service: fleet.ServiceID(f.texts["service"]), Zone: fleet.ZoneID(f.texts["zone"]),
			})
		},
		"entries": func(f fields) {
			r.Entries = append(r.Entries, Entry{
				ID: fleet.EntryID(f.texts["id"]), Service: fleet.ServiceID(f.texts["service"]),
				Class: catalogue.Class(f.texts["class"]), Limit: f.limit(), Weight: f.floats["weight"],
			})
		},
		"accounts": func(f fields) {
			r.Accounts = append(r.Accounts, Account{ID: fleet.AccountID(f.texts["id"]), Limit: f.limit()})
		},
		"events": func(f fields) {
			r.Events = append(r.Events, Event{At: time.Unix(0, f.ints["at"]), Kind: EventKind(f.texts["kind"]), Name: f.texts["name"]})
		},
	}
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if name == "name" {
			r.Name, err = d.Str()
			return err
		}
		f := appendTo[name]
		if f == nil {
			return errors.Errorf("unknown field %q in run description", name)
		}
		return d.Arr(func(d *jx.Decoder) error {
			v, err := decodeFields(d)
			if err != nil {
				return errors.Wrap(err, name)
			}
			f(v)
			return nil
		})
	})
	return r, err
}
