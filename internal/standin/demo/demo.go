// Package demo runs a demonstration of the router. It puts a fleet of the router and a
// fleet of the baseline under the same load while an upstream is killed and a
// zone is taken out of service and put back, and compares the two. It measures the
// latency that the router adds at half of the upstreams' capacity, against direct
// connections to upstreams of the same kind.
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

// Config configures a demonstration.
type Config struct {
	Shape    lab.Shape
	Duration time.Duration // of the load of the main phase
	Rate     float64       // requests/s of the main phase; 0: mainLoadShare of the capacity
	Seed     uint64
	Dir      string     // for logs, histories and reports
	Out      io.Writer  // for progress and reports
	Kinds    []lab.Kind // of fleets to run; empty: all
}

// Times of the events of the main phase as shares of its duration, from 0 to 1: after
// 10 s, 17 s and 24 s of 30 s.
const (
	killShare    = 10.0 / 30
	zoneOutShare = 17.0 / 30
	zoneInShare  = 24.0 / 30
)

const (
	// mainLoadShare is the load of the main phase as a share of the upstreams'
	// capacity. It keeps the upstreams that remain after the loss of one upstream and
	// of one zone below two thirds of their capacity on average.
	mainLoadShare = 0.35
	// halfLoadShare is the load of the half-load phase as a share of the capacity.
	halfLoadShare = 0.5
	// halfLoadDuration is the duration of the half-load phase. Its latency is measured
	// after the first 2 s.
	halfLoadDuration = 4 * time.Second
	// warmUpLoadShare is the load of the warm-up phase as a share of the capacity.
	// Without a warm-up, requests that queued at cold upstreams raised the p99
	// latency at half load to 800 ms.
	warmUpLoadShare = 0.25
	warmUpDuration  = 3 * time.Second
	// phaseOverrun is the time that a phase may take beyond the duration of its load.
	phaseOverrun = 10 * time.Second
	// hotChangeShare is the share of the main phase's duration after which the set of
	// hot keys changes. No event is close to a change, so that requests for the
	// same keys precede and follow each event.
	hotChangeShare = 0.45
)

// Names of the phases, and of their directories below the directory of the fleet.
const (
	warmUpPhase   = "warm-up"
	halfLoadPhase = "half-load"
	mainPhase     = "main"
)

// demo is a demonstration in progress.
type demo struct {
	Config

	binaries lab.Binaries
	reports  map[lab.Kind]map[string]report.Report // by phase
}

// Run runs the demonstration and prints its reports. It fails if a figure of the router
// that must be 0 is not.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Rate <= 0 {
		cfg.Rate = mainLoadShare * cfg.Shape.Capacity()
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
		if err := d.runFleet(ctx, kind); err != nil {
			return errors.Wrap(err, string(kind))
		}
	}
	return d.writeReports()
}

// runFleet starts a fleet of one kind, runs its phases and computes their reports.
func (d *demo) runFleet(ctx context.Context, kind lab.Kind) error {
	startedAt := time.Now()
	f, err := lab.Start(ctx, lab.Options{
		Shape: d.Shape, Kind: kind, Dir: filepath.Join(d.Dir, string(kind)), Binaries: d.binaries, Rate: d.Rate, Seed: d.Seed,
	})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Fprintf(d.Out, "%s: serving after %s\n", kind, time.Since(startedAt).Round(100*time.Millisecond))
	var phases []*lab.Phase
	for _, t := range d.trafficFor(kind) {
		var events []event
		if t.Name == mainPhase {
			events = d.mainEvents(ctx, f)
		}
		p, err := d.runPhase(ctx, f, t, events)
		if err != nil {
			return err
		}
		phases = append(phases, p)
	}
	f.Close() // processes complete their histories when they end
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

// trafficFor returns the load of each phase of a kind of fleet. Upstreams that are
// reached directly need no warm-up, because they start warm, and have no comparable
// main phase.
func (d *demo) trafficFor(kind lab.Kind) (out []lab.Traffic) {
	capacity := d.Shape.Capacity()
	if kind != lab.Direct {
		out = append(out, lab.Traffic{Name: warmUpPhase, Rate: warmUpLoadShare * capacity, Duration: warmUpDuration, NominalRates: true})
	}
	if kind != lab.Baseline {
		out = append(out, lab.Traffic{Name: halfLoadPhase, Rate: halfLoadShare * capacity, Duration: halfLoadDuration, NominalRates: true})
	}
	if kind != lab.Direct {
		out = append(out, lab.Traffic{
			Name: mainPhase, Rate: d.Rate, Duration: d.Duration, HotKeyInterval: time.Duration(hotChangeShare * float64(d.Duration)),
		})
	}
	return out
}

// event is an action at a given time after the start of a phase.
type event struct {
	offset      time.Duration
	description string
	action      func() error
}

// mainEvents returns the events of the main phase in the order of their times.
func (d *demo) mainEvents(ctx context.Context, f *lab.Fleet) []event {
	at := func(share float64) time.Duration { return time.Duration(share * float64(d.Duration)) }
	victim := string(lab.UpstreamID(d.Shape.Services[0].ID, 2))
	zone := d.Shape.Zones[len(d.Shape.Zones)-1]
	return []event{
		{at(killShare), "SIGKILL to " + victim, func() error { return f.Kill(ctx, victim) }},
		{at(zoneOutShare), "zone " + string(zone) + " out of service", func() error { return f.ZoneOut(ctx, zone) }},
		{at(zoneInShare), "zone " + string(zone) + " back in service", func() error { return f.ZoneIn(ctx, zone) }},
	}
}

// runPhase starts the load of a phase, carries out the events at their times and waits
// for the end of the load.
func (d *demo) runPhase(ctx context.Context, f *lab.Fleet, t lab.Traffic, events []event) (*lab.Phase, error) {
	startedAt := time.Now()
	p, err := f.StartLoad(t)
	if err != nil {
		return nil, err
	}
	for _, e := range events {
		if err := waitOrDone(ctx, p, time.Until(startedAt.Add(e.offset))); err != nil {
			return nil, err
		}
		fmt.Fprintf(d.Out, "%s: %5.1f s  %s\n", f.Kind, time.Since(startedAt).Seconds(), e.description)
		if err := e.action(); err != nil {
			return nil, errors.Wrap(err, e.description)
		}
	}
	if err := waitOrDone(ctx, p, time.Until(startedAt.Add(t.Duration+phaseOverrun))); err != nil {
		return nil, err
	}
	return p, p.Finish(string(f.Kind)+" "+t.Name, 0)
}

// waitOrDone waits until d has passed or the load of p has ended. It returns an error if
// ctx is cancelled first.
func waitOrDone(ctx context.Context, p *lab.Phase, d time.Duration) error {
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

// writeReports writes the reports to the directories of their phases, prints the
// comparisons and checks the router's guarantees.
func (d *demo) writeReports() error {
	direct, withDirect := d.reports[lab.Direct][halfLoadPhase]
	if half, ok := d.reports[lab.Router][halfLoadPhase]; ok && withDirect {
		half.AddLatencyAgainst(direct)
		d.reports[lab.Router][halfLoadPhase] = half
	}
	for kind, phases := range d.reports {
		for name, r := range phases {
			if err := os.WriteFile(filepath.Join(d.Dir, string(kind), name, report.File), r.Encode(), 0o644); err != nil {
				return err
			}
		}
	}
	for _, kind := range []lab.Kind{lab.Router, lab.Baseline} {
		if r, ok := d.reports[kind][mainPhase]; ok {
			fmt.Fprintf(d.Out, "\n%s", r.Table())
		}
	}
	if half, ok := d.reports[lab.Router][halfLoadPhase]; ok && withDirect {
		fmt.Fprintf(d.Out, "\ncomparison with direct connections at half of the capacity (%.0f requests/s)\n%s",
			halfLoadShare*d.Shape.Capacity(), half.Compare(direct))
	}
	baseline, withBaseline := d.reports[lab.Baseline][mainPhase]
	if main, ok := d.reports[lab.Router][mainPhase]; ok && withBaseline {
		fmt.Fprintf(d.Out, "\ncomparison with the baseline\n%s", main.Compare(baseline))
	}
	return d.checkGuarantees()
}

// checkGuarantees prints the router's figures that must be 0 and are not, and returns an
// error if there are any.
func (d *demo) checkGuarantees() error {
	violations := 0
	for _, name := range []string{warmUpPhase, halfLoadPhase, mainPhase} {
		for _, f := range d.reports[lab.Router][name].Broken() {
			violations++
			fmt.Fprintf(d.Out, "BROKEN in %s: %s: %.0f %s\n", name, f.Name, f.Value, f.Note)
		}
	}
	if violations > 0 {
		return errors.Errorf("%d of the router's figures that must be 0 are not", violations)
	}
	return nil
}
