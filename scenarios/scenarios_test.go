// Package scenarios runs the scripts in testdata. Each script starts a fleet of
// processes, injects faults and checks the recorded histories, with the steps of
// internal/standin/scenario. Scripts that are listed in KNOWN-RED.txt may fail;
// their results are printed.
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

// maxFleets is the number of scripts that run at the same time, each with a fleet
// of its own. With more, processes wait so long for a CPU that scripts fail.
var maxFleets = flag.Int("fleets", 3, "maximum number of fleets that run at the same time")

const knownRedFile = "../KNOWN-RED.txt"

// scriptTimeout bounds each step of a script.
const scriptTimeout = 90 * time.Second

// TestScenarios checks the guarantees G1 to G14 under faults, one script per subtest.
func TestScenarios(t *testing.T) {
	binaries, err := lab.FindBinaries(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	// Programs from which a safety rule was removed show that the scenario that
	// checks the rule can fail.
	if dir := os.Getenv("SCENARIO_PROGRAMS"); dir != "" {
		binaries = lab.Binaries{Proxy: filepath.Join(dir, "parsleyproxy"), Standin: filepath.Join(dir, "standin")}
	}
	mayFail := readKnownRed(t)
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts found in testdata: %v", err)
	}
	slots := make(chan struct{}, *maxFleets)
	for _, file := range scripts {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			if !mayFail[name] {
				testscript.RunT(inlineT{t}, scriptParams(t, binaries, file))
				return
			}
			rec := &recorder{log: t.Logf}
			func() {
				defer func() {
					if r := recover(); r != nil && r != errStopped {
						panic(r)
					}
				}()
				testscript.RunT(rec, scriptParams(t, binaries, file))
			}()
			if rec.failed {
				printKnownRed(t, name+" failed as listed")
			} else {
				printKnownRed(t, name+" passed; remove it from KNOWN-RED.txt if it does so repeatedly")
			}
		})
	}
}

var knownRedMu sync.Mutex

// printKnownRed prints the result of a script that is listed in KNOWN-RED.txt. It
// also appends the result to the file that KNOWN_RED_RESULTS names, because go test
// hides the output of packages that pass.
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

// readKnownRed returns the names of the scripts that may fail. KNOWN-RED.txt lists
// them in lines "scenario NAME: ...".
func readKnownRed(t *testing.T) map[string]bool {
	mayFail := make(map[string]bool)
	data, err := os.ReadFile(knownRedFile)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, "scenario ")
		if name, _, colon := strings.Cut(rest, ":"); ok && colon {
			if _, err := os.Stat(filepath.Join("testdata", name+".txtar")); err != nil {
				t.Errorf("%s lists the scenario %q, which does not exist", knownRedFile, name)
			}
			mayFail[name] = true
		}
	}
	return mayFail
}

func scriptParams(t *testing.T, binaries lab.Binaries, file string) testscript.Params {
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
			env.Defer(func() { s.Close(); keepFiles(t, s.Dir) })
			return nil
		},
	}
}

// keepFiles copies the files of a fleet to the directory that SCENARIO_KEEP names,
// if it is set, so that a failure can be investigated.
func keepFiles(t *testing.T, dir string) {
	to := os.Getenv("SCENARIO_KEEP")
	if to == "" {
		return
	}
	if err := os.CopyFS(filepath.Join(to, t.Name()), os.DirFS(dir)); err != nil {
		t.Log(err)
	}
}

// inlineT runs a script within the current test instead of in a subtest.
type inlineT struct{ *testing.T }

func (r inlineT) Run(_ string, f func(testscript.T)) { f(r) }
func (r inlineT) Parallel()                          {}
func (r inlineT) Verbose() bool                      { return testing.Verbose() }

// errStopped is the panic value with which a recorder ends a script.
var errStopped = fmt.Errorf("script stopped early")

// recorder is a testscript.T that records whether a script failed, without
// failing the test.
type recorder struct {
	failed bool
	log    func(format string, args ...any)
}

func (o *recorder) Skip(args ...any)                   { o.log("skip: %s", fmt.Sprint(args...)); panic(errStopped) }
func (o *recorder) Fatal(args ...any)                  { o.Log(args...); o.FailNow() }
func (o *recorder) Log(args ...any)                    { o.log("%s", fmt.Sprint(args...)) }
func (o *recorder) FailNow()                           { o.failed = true; panic(errStopped) }
func (o *recorder) Parallel()                          {}
func (o *recorder) Verbose() bool                      { return testing.Verbose() }
func (o *recorder) Run(_ string, f func(testscript.T)) { f(o) }
