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

// checkSteps read the histories; "histories" comes first.
var checkSteps = map[string]step{
	"histories":   {usage: "[MIN]: end the load and the fleet; what must be 0 is 0 and MIN requests were served", run: (*Session).readHistories},
	"all-served":  {usage: "MARK AFTER [MARK [EXCEPT...]]: every request that arrived from AFTER after the first mark to the second was served, but for the named reasons, outcomes or instances", min: 2, run: (*Session).allServed},
	"none-served": {usage: "ACCOUNT INSTANCE|- MARK AFTER [MARK]: no request of the account was served in this time", min: 4, run: (*Session).noneServed},
	"no-work":     {usage: "UPSTREAM|ZONE MARK AFTER [MARK]: no request started there in this time", min: 3, run: (*Session).noWork},
	"some-work":   {usage: "UPSTREAM|ZONE MARK [MARK]: a request started there in this time", min: 2, run: (*Session).someWork},
	"share":       {usage: "ACCOUNT MIN [MARK [MARK]]: served share of the account's requests", min: 2, run: (*Session).share},
	"at-most":     {usage: "N OUTCOME|REASON...: calls that ended so", min: 2, run: (*Session).atMost},
	"at-least":    {usage: "N OUTCOME|REASON...: calls that ended so", min: 2, run: (*Session).atLeast},
	"broken":      {usage: "FIGURE...: the figure that must be 0 is not; only for a fleet without the protection", min: 1, run: (*Session).broken},
}

// answerBound is how long the last requests may take after the end of the load:
// their deadline of 4 s and its margin.
const answerBound = 10 * time.Second

// minServed requests must have been served, or the checks would say little.
const minServed = 100

func (s *Session) readHistories(_ context.Context, args []string) error {
	if err := s.end(); err != nil {
		return err
	}
	least := minServed
	if len(args) > 0 {
		n, err := strconv.Atoi(args[0])
		if err != nil {
			return err
		}
		least = n
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
	if served < least {
		return errors.Errorf("%d requests were served, want %d", served, least)
	}
	return nil
}

// end ends the load and the fleet, and reads what they recorded. Histories are
// complete only after the end of the processes.
func (s *Session) end() error {
	if s.phase == nil {
		return errors.New("no load")
	}
	if err := s.phase.Stop("scenario", answerBound); err != nil {
		return err
	}
	s.mark("end")
	s.fleet.Close()
	var err error
	if s.history, err = report.Read(s.phase.Dir, s.Dir); err != nil {
		return err
	}
	s.report = report.Compute(s.history)
	return nil
}

// window reads "MARK AFTER [MARK]" as a time.
func (s *Session) window(args []string) (from, to int64, err error) {
	if s.history == nil {
		return 0, 0, errors.New("the histories come first")
	}
	start, err := s.at(args[0])
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
	stop, err := s.at(end)
	if err != nil {
		return 0, 0, err
	}
	if from, to = start.Add(after).UnixNano(), stop.UnixNano(); from >= to {
		return 0, 0, errors.Errorf("%s after %s is not before %s, so there is nothing to check", after, args[0], end)
	}
	return from, to, nil
}

func (s *Session) allServed(_ context.Context, args []string) error {
	from, to, err := s.window(args[:min(3, len(args))])
	if err != nil {
		return err
	}
	except := make(map[string]bool)
	for _, e := range args[min(3, len(args)):] {
		except[e] = true
	}
	n, asked := make(map[string]int), 0
	first := int64(0)
	for _, c := range s.history.Calls {
		if c.T0 < from || c.T0 >= to {
			continue
		}
		asked++
		if c.Outcome != load.OutcomeServed && !except[c.Outcome] && !except[c.Reason] && !except[c.Instance] {
			n[c.Outcome+" "+c.Reason]++
			if first == 0 {
				first = c.T0
			}
		}
	}
	if asked == 0 {
		return errors.New("no request arrived in this time")
	}
	if len(n) > 0 {
		return errors.Errorf("of %d requests some were not served: %v, the first %s into this time", asked, n, time.Duration(first-from).Round(time.Millisecond))
	}
	return nil
}

func (s *Session) noneServed(_ context.Context, args []string) error {
	from, to, err := s.window(args[2:])
	if err != nil {
		return err
	}
	served, asked := 0, 0
	for _, c := range s.history.Calls {
		if string(c.Account) != args[0] || (args[1] != "-" && c.Instance != args[1]) || c.T0 < from || c.T0 >= to {
			continue
		}
		asked++
		if c.Outcome == load.OutcomeServed {
			served++
		}
	}
	if served > 0 || asked == 0 {
		return errors.Errorf("%d of %d requests were served", served, asked)
	}
	return nil
}

// started counts the executions that started at an upstream or in a zone.
func (s *Session) started(name string, from, to int64) (n int) {
	here := make(map[fleet.UpstreamID]bool)
	for _, u := range s.fleet.Upstreams {
		here[u.ID] = string(u.ID) == name || string(u.Zone) == name
	}
	for _, x := range s.history.Executions {
		if here[x.Upstream] && x.Start >= from && x.Start < to {
			n++
		}
	}
	return n
}

func (s *Session) noWork(_ context.Context, args []string) error {
	from, to, err := s.window(args[1:])
	if err != nil {
		return err
	}
	if n := s.started(args[0], from, to); n > 0 {
		return errors.Errorf("%d requests started at %s", n, args[0])
	}
	return nil
}

func (s *Session) someWork(_ context.Context, args []string) error {
	from, to, err := s.window(append([]string{args[1], "0s"}, args[2:]...))
	if err != nil {
		return err
	}
	if s.started(args[0], from, to) == 0 {
		return errors.Errorf("no request started at %s", args[0])
	}
	return nil
}

func (s *Session) share(_ context.Context, args []string) error {
	least, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	window := []string{"load", "0s"}
	if len(args) > 2 {
		window = append([]string{args[2], "0s"}, args[3:]...)
	}
	from, to, err := s.window(window)
	if err != nil {
		return err
	}
	served, asked := 0.0, 0.0
	for _, c := range s.history.Calls {
		if string(c.Account) == args[0] && c.T0 >= from && c.T0 < to {
			asked++
			if c.Outcome == load.OutcomeServed {
				served++
			}
		}
	}
	if fmt.Fprintf(s.Out, "%s: %.0f of %.0f served\n", args[0], served, asked); !(served/asked >= least) {
		return errors.Errorf("%.3f of the %.0f requests of %s were served, want %s", served/asked, asked, args[0], args[1])
	}
	return nil
}

// ended counts the calls with an outcome or reason.
func (s *Session) ended(names []string) (n int) {
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
	if n := s.ended(args[1:]); n > limit {
		return errors.Errorf("%d calls ended with %s, want at most %d", n, strings.Join(args[1:], " or "), limit)
	}
	return nil
}

func (s *Session) atLeast(_ context.Context, args []string) error {
	limit, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if n := s.ended(args[1:]); n < limit {
		return errors.Errorf("%d calls ended with %s, want at least %d", n, strings.Join(args[1:], " or "), limit)
	}
	return nil
}

// broken expects a violation, which shows that a check can fail.
func (s *Session) broken(_ context.Context, args []string) error {
	if s.history == nil {
		if err := s.end(); err != nil {
			return err
		}
	}
	name := strings.Join(args, " ")
	for _, f := range s.report.Broken() {
		if f.Name == name {
			fmt.Fprintf(s.Out, "%s: %.0f %s\n", f.Name, f.Value, f.Note)
			return nil
		}
	}
	return errors.Errorf("%s is 0\n%s", name, s.report.Table())
}
