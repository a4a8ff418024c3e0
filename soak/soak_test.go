// Package soak runs the real program as separate processes beside stand-ins of the
// users' platform, injects faults from outside in series that overlap, and checks
// what callers and upstreams saw. It has tests only.
//
// A run with other seeds, by hand:
//
//	make soak SEEDS=50 FIRST=1000
//
// Not covered: clocks that jump, which need privileges to set, and links between
// instances; a paused process stands for a peer that is silent. Instances have no
// disk.
package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var (
	seeds     = flag.Int("seeds", 1, "runs of TestSoak")
	first     = flag.Uint64("first", 1, "seed of the first run")
	instances = flag.Int("instances", 6, "processes of the router")
	length    = flag.Duration("length", 15*time.Second, "time in which faults begin")
	keep      = flag.String("keep", "", "directory that keeps the logs of failed runs")
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "parsleyproxy")
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", program, "../cmd/parsleyproxy").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// startTime is the time for a fleet to start: elect, divide the keys, be ready.
	startTime = 5 * time.Second
	// recovery is the platform's bound for service to be back after all faults.
	recovery = 15 * time.Second
	// recovered is the share of requests within limits that is served from then on.
	recovered = 0.9
	// judged is how long that is measured.
	judged = 3 * time.Second
)

func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

// TestRegressions plays the seeds that have failed once.
func TestRegressions(t *testing.T) {
	for seed, cause := range regressions {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			soak(t, seed)
		})
	}
}

// regressions tells what was wrong when a seed failed.
var regressions = map[uint64]string{
	106: "instances without their account's home each started with a token: 52 of 51 requests",
	108: "keys of a restarted holder were given away although renewals had reached its new process",
	109: "the same as 108",
	602: "homes admitted a part of the tolerated requests at each of two restarts of all: 52 of 50 requests",
}

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed, *instances)
	stop := make(chan struct{})
	callers := &callers{w: w}
	ended := make(chan struct{})
	go func() {
		w.tend(stop)
		close(ended)
	}()
	time.Sleep(startTime)
	sent := make(chan struct{})
	go func() {
		callers.run(seed, stop)
		close(sent)
	}()
	w.inject(*length)
	w.note("all faults have ended")
	time.Sleep(recovery)
	from := time.Now()
	time.Sleep(judged)
	close(stop)
	<-ended
	<-sent
	broken := w.check(callers.done)
	served, owed, kinds := 0, 0, make(map[string]int)
	for _, a := range callers.done {
		kinds[fmt.Sprint(a.kind, " ", a.status)]++
		if a.sent.After(from) && a.status != http.StatusTooManyRequests {
			owed++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	t.Logf("%d requests: %v", len(callers.done), kinds)
	if float64(served) < recovered*float64(owed) || owed == 0 {
		broken = append(broken, fmt.Sprintf("%d of %d requests were served after %v without faults, want %.2f", served, owed, recovery, recovered))
	}
	if len(broken) == 0 {
		return
	}
	t.Errorf("%d promises broken:\n%s\nfaults:\n%s", len(broken), strings.Join(broken[:min(len(broken), 20)], "\n"), strings.Join(w.faults, "\n"))
	if *keep != "" {
		if err := os.CopyFS(filepath.Join(*keep, fmt.Sprint("seed-", seed)), os.DirFS(w.dir)); err != nil {
			t.Error(err)
		}
	}
}
