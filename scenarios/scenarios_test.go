// Package scenarios runs the scripts in testdata. Each starts a fleet of
// processes, injects faults, and checks the recorded histories. The steps are
// those of internal/standin/scenario. Scripts that are listed in KNOWN-RED.txt
// may fail; their result is printed.
package scenarios

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/scenario"
)

// fleets run at the same time. More make the machine's scheduling the cause of
// failures.
var fleets = flag.Int("fleets", 3, "number of fleets at the same time")

const knownRed = "../KNOWN-RED.txt"

// scriptTimeout bounds a script.
const scriptTimeout = 90 * time.Second

// TestScenarios guards the properties G1 to G14 under faults.
func TestScenarios(t *testing.T) {
	binaries, err := lab.FindBinaries(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	// Programs without a rule show that the scenario of the rule can fail.
	if dir := os.Getenv("SCENARIO_PROGRAMS"); dir != "" {
		binaries = lab.Binaries{Proxy: filepath.Join(dir, "parsleyproxy"), Standin: filepath.Join(dir, "standin")}
	}
	known := readKnownRed(t)
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	free := make(chan struct{}, *fleets)
	for _, file := range scripts {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			free <- struct{}{}
			defer func() { <-free }()
			if !known[name] {
				testscript.RunT(runner{t}, params(t, binaries, file))
				return
			}
			o := &observed{log: t.Logf}
			func() {
				defer func() {
					if r := recover(); r != nil && r != errStopped {
						panic(r)
					}
				}()
				testscript.RunT(o, params(t, binaries, file))
			}()
			if o.failed {
				printKnownRed(t, name+" failed as listed")
			} else {
				printKnownRed(t, name+" passed; remove it from KNOWN-RED.txt if it does so repeatedly")
			}
		})
	}
}

var knownRedMu sync.Mutex

// printKnownRed prints a result, and appends it to the file that
// KNOWN_RED_RESULTS names, because go test hides the output of packages that
// pass.
func printKnownRed(t *testing.T, result string) {
	knownRedMu.Lock()
	defer knownRedMu.Unlock()
	fmt.Println("KNOWN-RED:", result)
	name := os.Getenv("KNOWN_RED_RESULTS")
	if name == "" {
		return
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := fmt.Fprintln(f, "KNOWN-RED:", result); err != nil {
		t.Error(err)
	}
}

// readKnownRed returns the scenarios that may fail: lines "scenario NAME: ...".
func readKnownRed(t *testing.T) map[string]bool {
	known := make(map[string]bool)
	data, err := os.ReadFile(knownRed)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "scenario ")
		if name, _, colon := strings.Cut(rest, ":"); ok && colon {
			if _, err := os.Stat(filepath.Join("testdata", name+".txtar")); err != nil {
				t.Errorf("%s lists the scenario %q, which does not exist", knownRed, name)
			}
			known[name] = true
		}
	}
	return known
}

func params(t *testing.T, binaries lab.Binaries, file string) testscript.Params {
	type key struct{}
	commands := make(map[string]func(ts *testscript.TestScript, neg bool, args []string))
	for _, name := range scenario.Names() {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(key{}).(*scenario.Session)
			s.Out = ts.Stdout()
			ctx, cancel := context.WithTimeout(t.Context(), scriptTimeout)
			defer cancel()
			err := s.Do(ctx, name, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded", name)
			case neg:
				fmt.Fprintln(ts.Stderr(), err)
			case err != nil:
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return testscript.Params{
		Files: []string{file}, Cmds: commands, RequireUniqueNames: true,
		Setup: func(env *testscript.Env) error {
			s := &scenario.Session{Dir: filepath.Join(env.WorkDir, "fleet"), Binaries: binaries}
			env.Values[key{}] = s
			env.Defer(func() { s.Close(); keep(t, s.Dir) })
			return nil
		},
	}
}

// keep copies a fleet's files for an investigation if SCENARIO_KEEP names a
// directory.
func keep(t *testing.T, dir string) {
	to := os.Getenv("SCENARIO_KEEP")
	if to == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(to, t.Name()), os.DirFS(dir)); err != nil {
		t.Log(err)
	}
}

// runner runs a script in a test of its own, at once.
type runner struct{ *testing.T }

func (r runner) Run(_ string, f func(testscript.T)) { f(r) }
func (r runner) Parallel()                          {}
func (r runner) Verbose() bool                      { return testing.Verbose() }

var errStopped = fmt.Errorf("the script ended early")

// observed records the result of a script that may fail.
type observed struct {
	failed bool
	log    func(format string, args ...any)
}

func (o *observed) Skip(args ...any)                   { o.log("skip: %s", fmt.Sprint(args...)); panic(errStopped) }
func (o *observed) Fatal(args ...any)                  { o.Log(args...); o.FailNow() }
func (o *observed) Log(args ...any)                    { o.log("%s", fmt.Sprint(args...)) }
func (o *observed) FailNow()                           { o.failed = true; panic(errStopped) }
func (o *observed) Parallel()                          {}
func (o *observed) Verbose() bool                      { return testing.Verbose() }
func (o *observed) Run(_ string, f func(testscript.T)) { f(o) }
