package scenario

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// checkSteps are the steps that check the recorded histories. The step histories
// must precede the others, except for broken.
var checkSteps = map[string]step{
	"histories":   {usage: "[MIN]: end the load and the fleet, and check that every figure that must be 0 is 0 and that at least MIN requests were served", run: (*Session).readHistories},
	"all-served":  {usage: "MARK AFTER [MARK [EXCEPT...]]: check that every request that arrived between the time AFTER after the first mark and the second mark was served, except for the given reasons, outcomes or instances", minArgs: 2, run: (*Session).allServed},
	"none-served": {usage: "ACCOUNT INSTANCE|- MARK AFTER [MARK]: check that no request of the account that arrived in this interval was served", minArgs: 4, run: (*Session).noneServed},
	"no-work":     {usage: "UPSTREAM|ZONE MARK AFTER [MARK]: check that no request started there in this interval", minArgs: 3, run: (*Session).noWork},
	"some-work":   {usage: "UPSTREAM|ZONE MARK [MARK]: check that a request started there in this interval", minArgs: 2, run: (*Session).someWork},
	"share":       {usage: "ACCOUNT MIN [MARK [MARK]]: check that the served share (0 to 1) of the account's requests is at least MIN", minArgs: 2, run: (*Session).servedShare},
	"at-most":     {usage: "N OUTCOME|REASON...: check that at most N calls ended with one of the outcomes or reasons", minArgs: 2, run: (*Session).atMost},
	"at-least":    {usage: "N OUTCOME|REASON...: check that at least N calls ended with one of the outcomes or reasons", minArgs: 2, run: (*Session).atLeast},
	"broken":      {usage: "FIGURE...: check that a figure that must be 0 is not; only for a fleet without the protection that the figure checks", minArgs: 1, run: (*Session).expectBroken},
}

// loadEndTimeout bounds the wait for the last requests after the load has been
// stopped. It allows for their deadline of 4 s and a margin.
const loadEndTimeout = 10 * time.Second

// minServed is the default minimum number of served requests. With fewer, the
// checks would prove little.
const minServed = 100

func (s *Session) readHistories(_ context.Context, args []string) error {
	if err := s.endRun(); err != nil {
		return err
	}
	minimum := minServed
	if len(args) > 0 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return err
		}
		minimum = n
	}
	fmt.Fprint(s.Out, s.report.Table())
	var found []string
	for _, f := range s.report.Broken() {
		found = append(found, fmt.Sprintf("%s: %.0f %s", f.Name, f.Value, f.Note))
	}
	if len(found) > 0 {
		return errors.New(strings.Join(found, "; "))
	}
	served := 0
	for _, c := range s.history.Calls {
		if c.Outcome == load.OutcomeServed {
			served++
		}
	}
	if served < minimum {
		return errors.Errorf("%d requests were served, want at least %d", served, minimum)
	}
	return nil
}

// endRun ends the load and the fleet and then reads the histories, which are
// complete only when the processes have ended.
func (s *Session) endRun() error {
	if s.phase == nil {
		return errors.New("no load was started")
	}
	if err := s.phase.Stop("scenario", loadEndTimeout); err != nil {
		return err
	}
	s.setMark("end")
	s.fleet.Close()
	var err error
	if s.history, err = report.Read(s.phase.Dir, s.Dir); err != nil {
		return err
	}
	s.report = report.Compute(s.history)
	return nil
}

// interval parses "MARK AFTER [MARK]" as an interval in Unix nanoseconds. The
// default of the second mark is the end of the load.
func (s *Session) interval(args []string) (from, to int64, err error) {
	if s.history == nil {
		return 0, 0, errors.New("histories have not been read: the step histories must come first")
	}
	start, err := s.markTime(args[0])
	if err != nil {
		return 0, 0, err
	}
	after, err := time.ParseDuration(args[1])
	if err != nil {
		return 0, 0, err
	}
	end := "end"
	if len(args) > 2 {
		end = args[2]
	}
	stop, err := s.markTime(end)
	if err != nil {
		return 0, 0, err
	}
	if from, to = start.Add(after).UnixNano(), stop.UnixNano(); from >= to {
		return 0, 0, errors.Errorf("empty interval: %s after %q is not before %q", after, args[0], end)
	}
	return from, to, nil
}

func (s *Session) allServed(_ context.Context, args []string) error {
	from, to, err := s.interval(args[:min(3, len(args))])
	if err != nil {
		return err
	}
	except := make(map[string]bool)
	for _, e := range args[min(3, len(args)):] {
		except[e] = true
	}
	unserved, arrived := make(map[string]int), 0
	first := int64(0)
	for _, c := range s.history.Calls {
		if c.T0 < from || c.T0 >= to {
			continue
		}
		arrived++
		if c.Outcome != load.OutcomeServed && !except[c.Outcome] && !except[c.Reason] && !except[c.Instance] {
			unserved[c.Outcome+" "+c.Reason]++
			if first == 0 {
				first = c.T0
			}
		}
	}
	if arrived == 0 {
		return errors.New("no request arrived in the interval")
	}
	if len(unserved) > 0 {
		return errors.Errorf("some of %d requests were not served: %v; the first arrived %s after the start of the interval", arrived, unserved, time.Duration(first-from).Round(time.Millisecond))
	}
	return nil
}

func (s *Session) noneServed(_ context.Context, args []string) error {
	from, to, err := s.interval(args[2:])
	if err != nil {
		return err
	}
	served, arrived := 0, 0
	for _, c := range s.history.Calls {
		if string(c.Account) != args[0] || (args[1] != "-" && c.Instance != args[1]) || c.T0 < from || c.T0 >= to {
			continue
		}
		arrived++
		if c.Outcome == load.OutcomeServed {
			served++
		}
	}
	if served > 0 || arrived == 0 {
		return errors.Errorf("%d of %d requests were served, want 0 of at least 1", served, arrived)
	}
	return nil
}

// countStarts counts the executions that started in an interval at an upstream or
// in a zone.
func (s *Session) countStarts(name string, from, to int64) (n int) {
	matches := make(map[fleet.UpstreamID]bool)
	for _, u := range s.fleet.Upstreams {
		matches[u.ID] = string(u.ID) == name || string(u.Zone) == name
	}
	for _, x := range s.history.Executions {
		if matches[x.Upstream] && x.Start >= from && x.Start < to {
			n++
		}
	}
	return n
}

func (s *Session) noWork(_ context.Context, args []string) error {
	from, to, err := s.interval(args[1:])
	if err != nil {
		return err
	}
	if n := s.countStarts(args[0], from, to); n > 0 {
		return errors.Errorf("%d requests started at %s, want 0", n, args[0])
	}
	return nil
}

func (s *Session) someWork(_ context.Context, args []string) error {
	from, to, err := s.interval(append([]string{args[1], "0s"}, args[2:]...))
	if err != nil {
		return err
	}
	if s.countStarts(args[0], from, to) == 0 {
		return errors.Errorf("no request started at %s", args[0])
	}
	return nil
}

func (s *Session) servedShare(_ context.Context, args []string) error {
	minimum, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	window := []string{"load", "0s"}
	if len(args) > 2 {
		window = append([]string{args[2], "0s"}, args[3:]...)
	}
	from, to, err := s.interval(window)
	if err != nil {
		return err
	}
	served, arrived := 0.0, 0.0
	for _, c := range s.history.Calls {
		if string(c.Account) == args[0] && c.T0 >= from && c.T0 < to {
			arrived++
			if c.Outcome == load.OutcomeServed {
				served++
			}
		}
	}
	if fmt.Fprintf(s.Out, "%s: %.0f of %.0f served\n", args[0], served, arrived); !(served/arrived >= minimum) {
		return errors.Errorf("share %.3f of the %.0f requests of %s was served, want at least %s", served/arrived, arrived, args[0], args[1])
	}
	return nil
}

// countEnded counts the calls whose outcome or reason is one of names.
func (s *Session) countEnded(names []string) (n int) {
	for _, c := range s.history.Calls {
		for _, name := range names {
			if c.Outcome == name || c.Reason == name {
				n++
				break
			}
		}
	}
	return n
}

func (s *Session) atMost(_ context.Context, args []string) error {
	limit, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if n := s.countEnded(args[1:]); n > limit {
		return errors.Errorf("%d calls ended with %s, want at most %d", n, strings.Join(args[1:], " or "), limit)
	}
	return nil
}

func (s *Session) atLeast(_ context.Context, args []string) error {
	limit, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if n := s.countEnded(args[1:]); n < limit {
		return errors.Errorf("%d calls ended with %s, want at least %d", n, strings.Join(args[1:], " or "), limit)
	}
	return nil
}

// expectBroken checks that a guarantee was violated, which shows that its check can
// fail.
func (s *Session) expectBroken(_ context.Context, args []string) error {
	if s.history == nil {
		if err := s.endRun(); err != nil {
			return err
		}
	}
	want := strings.Join(args, " ")
	for _, f := range s.report.Broken() {
		if f.Name == want {
			fmt.Fprintf(s.Out, "%s: %.0f %s\n", f.Name, f.Value, f.Note)
			return nil
		}
	}
	return errors.Errorf("figure %q is 0 or unknown, want a violation\n%s", want, s.report.Table())
}
