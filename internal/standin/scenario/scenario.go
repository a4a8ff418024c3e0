// Package scenario runs a fleet step by step, as scripts and demonstrations
// describe it: start the fleet, offer load, inject faults, wait for conditions,
// and check the recorded histories.
//
// A wait is for a condition and bounded by the stated target. Steps that change
// the fleet set a mark with their own words as its name, such as "sigkill small-1";
// checks refer to marks.
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

// Session is a scenario in progress. The caller must Close it.
type Session struct {
	Dir      string // of the fleet's files
	Binaries lab.Binaries
	Out      io.Writer

	fleet    *lab.Fleet
	client   *http1.Client
	phase    *lab.Phase
	kind     lab.Kind
	marks    []mark
	gone     map[string]bool // instances that are not to be asked
	revision fleet.Revision  // of the last edit
	histories
}

type mark struct {
	name string
	at   time.Time
}

type histories struct {
	history *report.History
	report  report.Report
}

// step is a command of scenarios.
type step struct {
	usage string
	min   int // number of arguments
	run   func(s *Session, ctx context.Context, args []string) error
	marks bool
}

// steps by their names.
var steps = map[string]step{}

func init() {
	for _, group := range []map[string]step{fleetSteps, faultSteps, operatorSteps, waitSteps, checkSteps} {
		for name, st := range group {
			steps[name] = st
		}
	}
}

// Names returns the names of all steps.
func Names() (out []string) {
	for name := range steps {
		out = append(out, name)
	}
	return out
}

// Do runs a step.
func (s *Session) Do(ctx context.Context, name string, args []string) error {
	st, ok := steps[name]
	if !ok {
		return errors.Errorf("no step %q", name)
	}
	if len(args) < st.min {
		return errors.Errorf("usage: %s %s", name, st.usage)
	}
	if name != "fleet" && s.fleet == nil {
		return errors.New("no fleet")
	}
	if st.marks {
		s.mark(strings.Join(append([]string{name}, args...), " "))
	}
	began := time.Now()
	err := st.run(s, ctx, args)
	fmt.Fprintf(s.Out, "%s %s: %s\n", name, strings.Join(args, " "), time.Since(began).Round(time.Millisecond))
	return err
}

func (s *Session) mark(name string) { s.marks = append(s.marks, mark{name, time.Now()}) }

// at returns the time of the last mark with a name, or of one that starts with it.
func (s *Session) at(name string) (time.Time, error) {
	for i := len(s.marks) - 1; i >= 0; i-- {
		if s.marks[i].name == name || strings.HasPrefix(s.marks[i].name, name+" ") {
			return s.marks[i].at, nil
		}
	}
	return time.Time{}, errors.Errorf("no mark %q", name)
}

// Close ends every process of the scenario.
func (s *Session) Close() {
	if s.fleet != nil {
		s.fleet.Close()
	}
}

// options reads "name=value" arguments; others are an error.
func options(args []string, set map[string]func(string) error) error {
	for _, a := range args {
		name, value, _ := strings.Cut(a, "=")
		f := set[name]
		if f == nil {
			return errors.Errorf("argument %q is unknown", a)
		}
		if err := f(value); err != nil {
			return errors.Wrapf(err, "argument %q", a)
		}
	}
	return nil
}
