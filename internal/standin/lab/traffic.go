package lab

import (
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Traffic describes a phase of load.
type Traffic struct {
	Name      string // of the directory in the fleet's directory
	Rate      float64
	Duration  time.Duration
	HotChange time.Duration
	Steady    bool // no account sends more than its share
}

// Phase is a phase of load that has been started.
type Phase struct {
	*Process

	Dir   string
	fleet *Fleet
	first int // events before the phase
}

// StartLoad starts a load generator as a process. Requests are divided over the
// services by their capacity.
func (f *Fleet) StartLoad(t Traffic) (*Phase, error) {
	dir := filepath.Join(f.Dir, t.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	args := []string{
		"load", "--duration", t.Duration.String(), "--seed", strconv.FormatUint(f.Seed, 10),
		"--delay", f.Shape.CallerDelay.String(), "--history", filepath.Join(dir, "load.jsonl"),
		"--hot-change", t.HotChange.String(), "--deadline", "4s",
	}
	if f.Kind == Direct {
		args = append(args, "--direct", "--health", "0s")
	}
	for _, x := range f.Targets() {
		args = append(args, "--target", x.Format())
	}
	for _, a := range f.Shape.Accounts {
		source := load.Account{ID: a.ID, Key: CallerKey(a.ID), Rate: f.Shape.Rate(a, t.Rate)}
		if !t.Steady {
			source.Times = a.Times
		}
		if a.Sticky > 0 && f.Kind != Direct {
			source.Target, source.Share = string(f.Instances[0].ID), a.Sticky
		}
		args = append(args, "--account", source.Format())
	}
	for _, s := range f.Shape.Services {
		e := load.Entry{
			ID: fleet.EntryID(s.ID), Service: s.ID, Prefix: s.Prefix(), Class: s.Class,
			Weight: s.capacity(), Keys: s.Keys, Skew: s.Skew,
		}
		args = append(args, "--entry", e.Format())
	}
	f.mu.Lock()
	first := len(f.events)
	f.mu.Unlock()
	p, err := f.run(spec{name: "load-" + t.Name, path: f.Binaries.Standin, args: args})
	if err != nil {
		return nil, err
	}
	return &Phase{Process: p, Dir: dir, fleet: f, first: first}, nil
}

// Finish waits for the end of the load and writes the description of the phase.
func (p *Phase) Finish(name string, within time.Duration) error {
	if !p.wait(within) {
		return errors.Errorf("%s did not end within %s", p.Name, within)
	}
	if p.err != nil {
		return errors.Wrap(p.err, p.Name)
	}
	return p.fleet.describe(name, p.first).Write(p.Dir)
}

// describe returns what a report needs to know about the fleet.
func (f *Fleet) describe(name string, firstEvent int) report.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := report.Run{Name: name, Events: f.events[firstEvent:]}
	for _, s := range f.Shape.Services {
		r.Services = append(r.Services, s.ID)
		r.Entries = append(r.Entries, report.Entry{ID: fleet.EntryID(s.ID), Service: s.ID, Class: s.Class, Weight: s.Weight})
	}
	for _, u := range f.Upstreams {
		r.Upstreams = append(r.Upstreams, report.Upstream{ID: u.ID, Service: u.Service, Zone: u.Zone})
	}
	for _, a := range f.Shape.Accounts {
		limit := f.Shape.Limit(a, f.Rate)
		if f.Kind == Direct {
			limit = fleet.Limit{}
		}
		r.Accounts = append(r.Accounts, report.Account{ID: a.ID, Limit: limit})
	}
	return r
}

// Stop ends the load, waits until its last request was answered and writes the
// description of the phase.
func (p *Phase) Stop(name string, within time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Finish(name, within)
}
