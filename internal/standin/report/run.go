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

// Names of files in a run's directory.
const (
	RunFile = "run.json"    // the description
	File    = "report.json" // the report
)

// Run describes what the histories of a run were recorded from.
type Run struct {
	Name      string
	Services  []fleet.ServiceID
	Upstreams []Upstream
	Entries   []Entry
	Accounts  []Account
	Events    []Event // in order of time
}

// Upstream is a back end that took part.
type Upstream struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceID
	Zone    fleet.ZoneID
}

// Entry is a catalogue entry.
type Entry struct {
	ID      fleet.EntryID
	Service fleet.ServiceID
	Class   catalogue.Class
	Limit   fleet.Limit
	Weight  float64 // of a request in the service figure
}

// Account is a client account.
type Account struct {
	ID    fleet.AccountID
	Limit fleet.Limit
}

// Event is something that was done to the fleet.
type Event struct {
	At   time.Time
	Kind EventKind
	Name string // of the upstream or zone
}

// EventKind says what happened.
type EventKind string

// Kinds of events.
const (
	UpstreamLost EventKind = "upstream-lost"
	ZoneOut      EventKind = "zone-out" // the edit came into force
	ZoneIn       EventKind = "zone-in"  // the edit was submitted
)

// Write writes the description into dir.
func (r Run) Write(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, RunFile), r.encode(), 0o644); err != nil {
		return errors.Wrap(err, "write the run's description")
	}
	return nil
}

func (r Run) encode() []byte {
	var e jx.Encoder
	e.SetIdent(1)
	text := func(name, v string) { e.Field(name, func(e *jx.Encoder) { e.Str(v) }) }
	limit := func(l fleet.Limit) {
		e.Field("rate", func(e *jx.Encoder) { e.Float64(float64(l.Rate)) })
		e.Field("burst", func(e *jx.Encoder) { e.Int64(int64(l.Burst)) })
	}
	list := func(name string, n int, item func(i int)) {
		e.Field(name, func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for i := range n {
					e.Obj(func(*jx.Encoder) { item(i) })
				}
			})
		})
	}
	e.Obj(func(*jx.Encoder) {
		text("name", r.Name)
		list("services", len(r.Services), func(i int) { text("id", string(r.Services[i])) })
		list("upstreams", len(r.Upstreams), func(i int) {
			u := r.Upstreams[i]
			text("id", string(u.ID))
			text("service", string(u.Service))
			text("zone", string(u.Zone))
		})
		list("entries", len(r.Entries), func(i int) {
			t := r.Entries[i]
			text("id", string(t.ID))
			text("service", string(t.Service))
			text("class", string(t.Class))
			limit(t.Limit)
			e.Field("weight", func(e *jx.Encoder) { e.Float64(t.Weight) })
		})
		list("accounts", len(r.Accounts), func(i int) {
			text("id", string(r.Accounts[i].ID))
			limit(r.Accounts[i].Limit)
		})
		list("events", len(r.Events), func(i int) {
			v := r.Events[i]
			e.Field("at", func(e *jx.Encoder) { e.Int64(v.At.UnixNano()) })
			text("kind", string(v.Kind))
			text("name", v.Name)
		})
	})
	return e.Bytes()
}

// fields is an object of strings and numbers.
type fields struct {
	text   map[string]string
	number map[string]float64
	whole  map[string]int64
}

func decodeFields(d *jx.Decoder) (fields, error) {
	f := fields{text: make(map[string]string), number: make(map[string]float64), whole: make(map[string]int64)}
	err := d.Obj(func(d *jx.Decoder, name string) error {
		if d.Next() != jx.Number {
			s, err := d.Str()
			f.text[name] = s
			return err
		}
		n, err := d.Num()
		if err != nil {
			return err
		}
		if f.number[name], err = n.Float64(); err != nil {
			return err
		}
		if n.IsInt() {
			f.whole[name], err = n.Int64()
		}
		return err
	})
	return f, err
}

func (f fields) limit() fleet.Limit {
	return fleet.Limit{Rate: fleet.PerSecond(f.number["rate"]), Burst: fleet.Tokens(f.number["burst"])}
}

func decodeRun(data []byte) (r Run, err error) {
	add := map[string]func(f fields){
		"services": func(f fields) { r.Services = append(r.Services, fleet.ServiceID(f.text["id"])) },
		"upstreams": func(f fields) {
			r.Upstreams = append(r.Upstreams, Upstream{
				ID: fleet.UpstreamID(f.text["id"]), Service: fleet.ServiceID(f.text["service"]), Zone: fleet.ZoneID(f.text["zone"]),
			})
		},
		"entries": func(f fields) {
			r.Entries = append(r.Entries, Entry{
				ID: fleet.EntryID(f.text["id"]), Service: fleet.ServiceID(f.text["service"]),
				Class: catalogue.Class(f.text["class"]), Limit: f.limit(), Weight: f.number["weight"],
			})
		},
		"accounts": func(f fields) {
			r.Accounts = append(r.Accounts, Account{ID: fleet.AccountID(f.text["id"]), Limit: f.limit()})
		},
		"events": func(f fields) {
			r.Events = append(r.Events, Event{At: time.Unix(0, f.whole["at"]), Kind: EventKind(f.text["kind"]), Name: f.text["name"]})
		},
	}
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, name string) (err error) {
		if name == "name" {
			r.Name, err = d.Str()
			return err
		}
		f := add[name]
		if f == nil {
			return errors.Errorf("field %q is unknown", name)
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
