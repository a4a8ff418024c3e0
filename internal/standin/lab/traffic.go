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

// Traffic configures a phase of load.
type Traffic struct {
	Name           string  // name of the phase's directory within the fleet's directory
	Rate           float64 // nominal total of all accounts, in requests/s
	Duration       time.Duration
	HotKeyInterval time.Duration // interval at which the load generator changes the hot keys
	NominalRates   bool          // every account sends exactly its nominal rate
}

// Phase is a started phase of load with its load generator's process.
type Phase struct {
	*Process

	Dir        string
	fleet      *Fleet
	firstEvent int // index in fleet.events of the first event of the phase
}

// StartLoad starts the process of a load generator. It sends requests to the services
// in proportion to their capacity.
func (f *Fleet) StartLoad(t Traffic) (*Phase, error) {
	dir := filepath.Join(f.Dir, t.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	args := []string{
		"load", "--duration", t.Duration.String(), "--seed", strconv.FormatUint(f.Seed, 10),
		"--delay", f.Shape.CallerDelay.String(), "--history", filepath.Join(dir, "load.jsonl"),
		"--hot-change", t.HotKeyInterval.String(), "--deadline", "4s",
	}
	if f.Kind == Direct {
		args = append(args, "--direct", "--health", "0s")
	}
	for _, target := range f.Targets() {
		args = append(args, "--target", target.Format())
	}
	for _, a := range f.Shape.Accounts {
		account := load.Account{ID: a.ID, Key: CallerKey(a.ID), Rate: f.Shape.Rate(a, t.Rate)}
		if !t.NominalRates {
			account.LoadFactor = a.LoadFactor
		}
		if a.StickyShare > 0 && f.Kind != Direct {
			account.Target, account.TargetShare = string(f.Instances[0].ID), a.StickyShare
		}
		args = append(args, "--account", account.Format())
	}
	for _, s := range f.Shape.Services {
		e := load.Entry{
			ID: fleet.EntryID(s.ID), Service: s.ID, Prefix: s.Prefix(), Class: s.Class,
			Weight: s.capacity(), Keys: s.Keys, Skew: s.Skew,
		}
		args = append(args, "--entry", e.Format())
	}
	f.mu.Lock()
	firstEvent := len(f.events)
	f.mu.Unlock()
	p, err := f.startProcess(processSpec{name: "load-" + t.Name, path: f.Binaries.Standin, args: args})
	if err != nil {
		return nil, err
	}
	return &Phase{Process: p, Dir: dir, fleet: f, firstEvent: firstEvent}, nil
}

// Finish waits until the load generator has exited and writes the description of the
// phase for the report.
func (p *Phase) Finish(name string, within time.Duration) error {
	if !p.wait(within) {
		return errors.Errorf("%s did not exit within %s", p.Name, within)
	}
	if p.exitErr != nil {
		return errors.Wrap(p.exitErr, p.Name)
	}
	return p.fleet.reportRun(name, p.firstEvent).Write(p.Dir)
}

// reportRun returns the description of the fleet and the events from firstEvent on
// that a report needs.
func (f *Fleet) reportRun(name string, firstEvent int) report.Run {
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

// Stop ends the load, waits until the last request has been answered, and writes the
// description of the phase for the report.
func (p *Phase) Stop(name string, within time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Finish(name, within)
}
