package lab

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
)

// alive reports whether a process exists.
func alive(pid int) bool {
	return !errors.Is(syscall.Kill(pid, 0), syscall.ESRCH)
}

// TestFleet guards against processes that outlive the lab, signals to the wrong
// process, and run directories that package report cannot read.
func TestFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	binaries, err := FindBinaries(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	shape, err := FindShape("small")
	if err != nil {
		t.Fatal(err)
	}
	const rate = 100
	f, err := Start(ctx, Options{Shape: shape, Kind: Baseline, Dir: t.TempDir(), Binaries: binaries, Rate: rate, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	p, err := f.StartLoad(Traffic{Name: "main", Rate: rate, Duration: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	// The load is in progress once the upstream's history holds an execution.
	victim, paused := f.Upstreams[0].ID, string(f.Upstreams[1].ID)
	if err := pollUntil(ctx, startTimeout, "the upstream runs a request", func(context.Context) error {
		info, err := os.Stat(filepath.Join(f.Dir, "upstream-"+string(victim)+".jsonl"))
		if err == nil && info.Size() == 0 {
			err = errors.New("the upstream's history is empty")
		}
		return err
	}); err != nil {
		t.Fatal(err)
	}
	if err := f.Kill(ctx, string(victim)); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(f.Pause(paused), f.Resume(paused), f.Pause(paused)); err != nil {
		t.Fatal(err)
	}
	if err := f.Kill(ctx, "unknown"); err == nil {
		t.Error("killing an unknown process succeeded")
	}
	if err := f.Terminate(ctx, string(f.Instances[2].ID), termTimeout); err != nil {
		t.Fatal(err)
	}
	if err := f.Resume(paused); err != nil {
		t.Fatal(err)
	}
	<-p.Done()
	if err := p.Finish("small", 0); err != nil {
		t.Fatal(err)
	}
	f.Close() // also ends the paused process
	for _, q := range f.startOrder {
		if pid := q.cmd.Process.Pid; alive(pid) {
			t.Errorf("%s (process %d) is still running after Close", q.Name, pid)
		}
	}
	h, err := report.Read(p.Dir, f.Dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(h.Run.Events) != 1 || h.Run.Events[0].Name != string(victim) {
		t.Errorf("events %v, want the loss of %s", h.Run.Events, victim)
	}
	if _, err := f.startProcess(processSpec{name: "late", path: binaries.Standin}); err == nil {
		t.Error("a process was started after Close")
	}
}

// TestStartFails guards against a Start that reports success without executables.
func TestStartFails(t *testing.T) {
	shape, _ := FindShape("small")
	_, err := Start(context.Background(), Options{
		Shape: shape, Kind: Baseline, Dir: t.TempDir(), Binaries: Binaries{Proxy: "/nonexistent", Standin: "/nonexistent"}, Rate: 1,
	})
	if err == nil {
		t.Fatal("Start succeeded without executables")
	}
}

// TestShapes guards against shapes whose catalogue fails validation.
func TestShapes(t *testing.T) {
	for name, s := range Shapes() {
		c := s.Catalogue(1000, catalogue.FencingChecked)
		if err := c.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if s.Capacity() <= 0 || len(s.Zones) == 0 {
			t.Errorf("%s: capacity %v, zones %v", name, s.Capacity(), s.Zones)
		}
	}
}
