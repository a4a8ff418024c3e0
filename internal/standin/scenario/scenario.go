// Package scenario implements the steps of scenarios, which scripts and
// demonstrations run: they start a fleet, offer load, inject faults, wait for
// conditions and check the recorded histories.
//
// Wait steps wait for a condition until a time limit, which is usually the target
// that the condition must meet. Steps that change the fleet or wait set a mark: the
// time at which they started, under a name that consists of the step and its
// arguments, such as "sigkill small-1". Check steps refer to marks.
package scenario

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Session runs the steps of one scenario. The caller must call Close at the end.
type Session struct {
	Dir      string // directory for the files of the fleet
	Binaries lab.Binaries
	Out      io.Writer // receives the output of the steps

	fleet    *lab.Fleet
	client   *http1.Client
	phase    *lab.Phase
	kind     lab.Kind
	marks    []mark
	stopped  map[string]bool // processes that were killed, paused or terminated
	revision fleet.Revision  // revision of the catalogue after the last edit
	results
}

type mark struct {
	name string
	at   time.Time
}

type results struct {
	history *report.History
	report  report.Report
}

// step is a command of scenario scripts.
type step struct {
	usage    string
	minArgs  int // minimum number of arguments
	run      func(s *Session, ctx context.Context, args []string) error
	setsMark bool // the step sets a mark when it starts
}

// steps holds all steps by name.
var steps = map[string]step{}

func init() {
	for _, group := range []map[string]step{fleetSteps, faultSteps, operatorSteps, waitSteps, checkSteps} {
		for name, st := range group {
			steps[name] = st
		}
	}
}

// Names returns the names of all steps, in no particular order.
func Names() (out []string) {
	for name := range steps {
		out = append(out, name)
	}
	return out
}

// Do runs the named step with the given arguments.
func (s *Session) Do(ctx context.Context, name string, args []string) error {
	st, ok := steps[name]
	if !ok {
		return errors.Errorf("unknown step %q", name)
	}
	if len(args) < st.minArgs {
		return errors.Errorf("usage: %s %s", name, st.usage)
	}
	if name != "fleet" && s.fleet == nil {
		return errors.New("no fleet was started")
	}
	if st.setsMark {
		s.setMark(strings.Join(append([]string{name}, args...), " "))
	}
	began := time.Now()
	err := st.run(s, ctx, args)
	fmt.Fprintf(s.Out, "%s %s: %s\n", name, strings.Join(args, " "), time.Since(began).Round(time.Millisecond))
	return err
}

func (s *Session) setMark(name string) { s.marks = append(s.marks, mark{name, time.Now()}) }

// markTime returns the time of the last mark whose name is the given one or starts
// with it and a space.
func (s *Session) markTime(name string) (time.Time, error) {
	for i := len(s.marks) - 1; i >= 0; i-- {
		if s.marks[i].name == name || strings.HasPrefix(s.marks[i].name, name+" ") {
			return s.marks[i].at, nil
		}
	}
	return time.Time{}, errors.Errorf("unknown mark %q", name)
}

// Close ends all processes of the fleet.
func (s *Session) Close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// parseOptions parses "name=value" arguments and calls the setter of each name. A
// name without a setter is an error.
func parseOptions(args []string, setters map[string]func(string) error) error {
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		setter := setters[name]
		if setter == nil {
			return errors.Errorf("unknown argument %q", a)
		}
		if err := setter(value); err != nil {
			return errors.Wrapf(err, "argument %q", a)
		}
	}
	return nil
}
