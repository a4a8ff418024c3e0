// Package demo runs a fleet under load through the loss of an upstream and the
// departure and return of a zone, does the same with the baseline, and compares
// them. The added latency is measured at half of the upstreams' capacity against
// direct connections to the same kind of upstreams.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
)

// Config describes a demonstration.
type Config struct {
	Shape    lab.Shape
	Duration time.Duration // of the main phase
	Rate     float64       // requests/s; 0: mainShare of the capacity
	Seed     uint64
	Dir      string
	Out      io.Writer
	Kinds    []lab.Kind // empty: all
}

// Times of the events as shares of the duration: 10 s, 17 s and 24 s of 30 s.
const (
	killAt    = 10.0 / 30
	zoneOutAt = 17.0 / 30
	zoneInAt  = 24.0 / 30
)

const (
	// mainShare of the capacity leaves the upstreams that remain after the loss of
	// one and of a zone below two thirds of theirs on average.
	mainShare = 0.35
	halfShare = 0.5
	// halfTime is how long the load is at half of the capacity. The latency is
	// measured after its first 2 s.
	halfTime = 4 * time.Second
	// Upstreams warm at warmShare of the capacity first. Without this, requests
	// that queue at cold upstreams raised the p99 at half load to 800 ms.
	warmShare = 0.25
	warmTime  = 3 * time.Second
	// lateness is how long a phase may take longer than its load.
	lateness = 10 * time.Second
	// hotChange is the share of the duration after which the hot keys change. No
	// event falls near a change, so that keys are asked for around each event.
	hotChange = 0.45
)

// Names of the phases, which are directories in the fleet's.
const (
	warmName = "warm-up"
	halfName = "half-load"
	mainName = "main"
)

// demo is a demonstration in progress.
type demo struct {
	Config

	binaries lab.Binaries
	reports  map[lab.Kind]map[string]report.Report // by phase
}

// Run runs the demonstration and prints its reports.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Rate <= 0 {
		cfg.Rate = mainShare * cfg.Shape.Capacity()
	}
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return err
	}
	binaries, err := lab.FindBinaries(ctx, cfg.Dir)
	if err != nil {
		return err
	}
	d := &demo{Config: cfg, binaries: binaries, reports: make(map[lab.Kind]map[string]report.Report)}
	fmt.Fprintf(d.Out, "%s: %d instances, %d services, %.0f requests/s of a capacity of %.0f; files in %s\n",
		cfg.Shape.Name, cfg.Shape.Instances, len(cfg.Shape.Services), cfg.Rate, cfg.Shape.Capacity(), cfg.Dir)
	if len(cfg.Kinds) == 0 {
		cfg.Kinds = []lab.Kind{lab.Direct, lab.Router, lab.Baseline}
	}
	for _, kind := range cfg.Kinds {
		if err := d.fleet(ctx, kind); err != nil {
			return errors.Wrap(err, string(kind))
		}
	}
	return d.compare()
}

// fleet runs the phases of one kind of fleet.
func (d *demo) fleet(ctx context.Context, kind lab.Kind) error {
	began := time.Now()
	f, err := lab.Start(ctx, lab.Options{
		Shape: d.Shape, Kind: kind, Dir: filepath.Join(d.Dir, string(kind)), Binaries: d.binaries, Rate: d.Rate, Seed: d.Seed,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(d.Out, "%s: serving after %s\n", kind, time.Since(began).Round(100*time.Millisecond))
	var phases []*lab.Phase
	for _, t := range d.traffic(kind) {
		var events []event
		if t.Name == mainName {
			events = d.events(ctx, f)
		}
		p, err := d.phase(ctx, f, t, events)
		if err != nil {
			return err
		}
		phases = append(phases, p)
	}
	f.Close() // histories are complete only after the end of the processes
	d.reports[kind] = make(map[string]report.Report)
	for _, p := range phases {
		h, err := report.Read(p.Dir, f.Dir)
		if err != nil {
			return err
		}
		d.reports[kind][filepath.Base(p.Dir)] = report.Compute(h)
	}
	return nil
}

// traffic returns the phases of a kind of fleet. Upstreams reached directly are
// warm from the start, and have no comparable main phase.
func (d *demo) traffic(kind lab.Kind) (out []lab.Traffic) {
	capacity := d.Shape.Capacity()
	if kind != lab.Direct {
		out = append(out, lab.Traffic{Name: warmName, Rate: warmShare * capacity, Duration: warmTime, Steady: true})
	}
	if kind != lab.Baseline {
		out = append(out, lab.Traffic{Name: halfName, Rate: halfShare * capacity, Duration: halfTime, Steady: true})
	}
	if kind != lab.Direct {
		out = append(out, lab.Traffic{
			Name: mainName, Rate: d.Rate, Duration: d.Duration, HotChange: time.Duration(hotChange * float64(d.Duration)),
		})
	}
	return out
}

// event is something to do during a phase.
type event struct {
	after time.Duration
	what  string
	do    func() error
}

// events returns what happens in the main phase.
func (d *demo) events(ctx context.Context, f *lab.Fleet) []event {
	at := func(share float64) time.Duration { return time.Duration(share * float64(d.Duration)) }
	victim := string(lab.UpstreamID(d.Shape.Services[0].ID, 2))
	zone := d.Shape.Zones[len(d.Shape.Zones)-1]
	return []event{
		{at(killAt), "SIGKILL to " + victim, func() error { return f.Kill(ctx, victim) }},
		{at(zoneOutAt), "zone " + string(zone) + " out of service", func() error { return f.ZoneOut(ctx, zone) }},
		{at(zoneInAt), "zone " + string(zone) + " back in service", func() error { return f.ZoneIn(ctx, zone) }},
	}
}

// phase runs load and the events meanwhile.
func (d *demo) phase(ctx context.Context, f *lab.Fleet, t lab.Traffic, events []event) (*lab.Phase, error) {
	began := time.Now()
	p, err := f.StartLoad(t)
	if err != nil {
		return nil, err
	}
	for _, e := range events {
		if err := wait(ctx, p, time.Until(began.Add(e.after))); err != nil {
			return nil, err
		}
		fmt.Fprintf(d.Out, "%s: %5.1f s  %s\n", f.Kind, time.Since(began).Seconds(), e.what)
		if err := e.do(); err != nil {
			return nil, errors.Wrap(err, e.what)
		}
	}
	if err := wait(ctx, p, time.Until(began.Add(t.Duration+lateness))); err != nil {
		return nil, err
	}
	return p, p.Finish(string(f.Kind)+" "+t.Name, 0)
}

// wait waits for d, the end of the load or the end of ctx.
func wait(ctx context.Context, p *lab.Phase, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// compare prints and writes the reports.
func (d *demo) compare() error {
	direct, withDirect := d.reports[lab.Direct][halfName]
	if half, ok := d.reports[lab.Router][halfName]; ok && withDirect {
		half.AddLatencyAgainst(direct)
		d.reports[lab.Router][halfName] = half
	}
	for kind, phases := range d.reports {
		for name, r := range phases {
			if err := os.WriteFile(filepath.Join(d.Dir, string(kind), name, report.File), r.Encode(), 0o644); err != nil {
				return err
			}
		}
	}
	for _, kind := range []lab.Kind{lab.Router, lab.Baseline} {
		if r, ok := d.reports[kind][mainName]; ok {
			fmt.Fprintf(d.Out, "\n%s", r.Table())
		}
	}
	if half, ok := d.reports[lab.Router][halfName]; ok && withDirect {
		fmt.Fprintf(d.Out, "\ncomparison with direct connections at half of the capacity (%.0f requests/s)\n%s",
			halfShare*d.Shape.Capacity(), half.Compare(direct))
	}
	baseline, withBaseline := d.reports[lab.Baseline][mainName]
	if main, ok := d.reports[lab.Router][mainName]; ok && withBaseline {
		fmt.Fprintf(d.Out, "\ncomparison with the baseline\n%s", main.Compare(baseline))
	}
	return d.verdict()
}

// verdict returns an error if a guarantee of the router was broken.
func (d *demo) verdict() error {
	broken := 0
	for _, name := range []string{warmName, halfName, mainName} {
		for _, f := range d.reports[lab.Router][name].Broken() {
			broken++
			fmt.Fprintf(d.Out, "BROKEN in %s: %s: %.0f %s\n", name, f.Name, f.Value, f.Note)
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of the router's figures that must be 0 are not", broken)
	}
	return nil
}
