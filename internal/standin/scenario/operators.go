package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var operatorSteps = map[string]step{
	"out":      {usage: "upstream|instance|zone NAME [via INSTANCE]", min: 2, run: (*Session).out, marks: true},
	"back":     {usage: "upstream|instance|zone NAME [via INSTANCE]", min: 2, run: (*Session).back, marks: true},
	"withdraw": {usage: "ACCOUNT [via INSTANCE]", min: 1, run: (*Session).withdraw, marks: true},
	"edit":     {usage: "NOTE [via INSTANCE]", min: 1, run: (*Session).edit, marks: true},
	"race":     {usage: "NOTE NOTE INSTANCE INSTANCE", min: 4, run: (*Session).race, marks: true},
}

// by is recorded as the author of changes.
const by = "scenario"

// via splits "ARGS... via INSTANCE" and returns the instance, by default one
// that runs.
func (s *Session) via(args []string) ([]string, lab.Instance, error) {
	if n := len(args); n > 2 && args[n-2] == "via" {
		i, ok := s.instance(args[n-1])
		if !ok {
			return nil, i, errors.Errorf("no instance %q", args[n-1])
		}
		return args[:n-2], i, nil
	}
	running := s.running()
	if len(running) == 0 {
		return nil, lab.Instance{}, errors.New("no instance runs")
	}
	return args, running[0], nil
}

func (s *Session) running() (out []lab.Instance) {
	for _, i := range s.fleet.Instances {
		if !s.gone[string(i.ID)] {
			out = append(out, i)
		}
	}
	return out
}

// changeBound is how long a change may take until it is in force.
const changeBound = 4 * time.Second

// change edits the catalogue once through one instance and waits until the edit
// is in force. The mark of the step moves to the time at which it was.
func (s *Session) change(ctx context.Context, i lab.Instance, change func(c *catalogue.Catalogue) error) error {
	c := s.fleet.Operator(i)
	defer c.Close()
	cat, base, err := c.Catalogue(ctx)
	if err != nil {
		return err
	}
	if err := change(cat); err != nil {
		return err
	}
	if s.revision, err = c.Apply(ctx, base, cat, by); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	p, err := operator.WaitInForce(ctx, c, s.revision, waitEvery)
	if err == nil && !p.InForce {
		err = errors.Errorf("revision %d is not in force after %s: learned by %d of %d", s.revision, changeBound, p.Learned, p.Members)
	}
	return err
}

func (s *Session) out(ctx context.Context, args []string) error {
	args, i, err := s.via(args)
	if err != nil {
		return err
	}
	return s.change(ctx, i, func(c *catalogue.Catalogue) error {
		c.OutOfService = append(c.OutOfService, catalogue.Outage{
			Kind: catalogue.OutageKind(args[0]), Name: args[1], By: by, At: time.Now().UTC().Truncate(time.Millisecond),
		})
		return nil
	})
}

func (s *Session) back(ctx context.Context, args []string) error {
	args, i, err := s.via(args)
	if err != nil {
		return err
	}
	return s.change(ctx, i, func(c *catalogue.Catalogue) error {
		var rest []catalogue.Outage
		for _, o := range c.OutOfService {
			if string(o.Kind) != args[0] || o.Name != args[1] {
				rest = append(rest, o)
			}
		}
		if len(rest) == len(c.OutOfService) {
			return errors.Errorf("%s %s is not out of service", args[0], args[1])
		}
		c.OutOfService = rest
		return nil
	})
}

func (s *Session) withdraw(ctx context.Context, args []string) error {
	args, i, err := s.via(args)
	if err != nil {
		return err
	}
	hash := lab.CallerKey(fleet.AccountID(args[0])).Hash()
	return s.change(ctx, i, func(c *catalogue.Catalogue) error {
		var rest []catalogue.CallerKey
		for _, k := range c.CallerKeys {
			if k.Hash != hash {
				rest = append(rest, k)
			}
		}
		if len(rest) == len(c.CallerKeys) {
			return errors.Errorf("account %s has no caller key", args[0])
		}
		c.CallerKeys = rest
		return nil
	})
}

// note adds an entry whose id can be looked for later.
func note(name string) func(c *catalogue.Catalogue) error {
	return func(c *catalogue.Catalogue) error {
		e := c.Entries[0]
		e.ID, e.PathPrefix, e.Owner = fleet.EntryID(name), "/"+name+"/", by
		c.Entries = append(c.Entries, e)
		return nil
	}
}

func noted(c *catalogue.Catalogue, name string) bool {
	for _, e := range c.Entries {
		if string(e.ID) == name {
			return true
		}
	}
	return false
}

func (s *Session) edit(ctx context.Context, args []string) error {
	args, i, err := s.via(args)
	if err != nil {
		return err
	}
	return s.change(ctx, i, note(args[0]))
}

// race lets two operators edit the same revision through two instances. Exactly
// one must win, and the other must be told so.
func (s *Session) race(ctx context.Context, args []string) error {
	type result struct {
		name string
		rev  fleet.Revision
		err  error
	}
	var bases [2]fleet.Revision
	results := make(chan result, len(bases))
	var clients [2]*operator.Client
	var edits [2]*catalogue.Catalogue
	for n := range clients {
		i, ok := s.instance(args[n+2])
		if !ok {
			return errors.Errorf("no instance %q", args[n+2])
		}
		clients[n] = s.fleet.Operator(i)
		defer clients[n].Close()
		var err error
		if edits[n], bases[n], err = clients[n].Catalogue(ctx); err != nil {
			return err
		}
		_ = note(args[n])(edits[n])
	}
	for n, c := range clients {
		go func() {
			rev, err := c.Apply(ctx, bases[n], edits[n], "operator-"+args[n])
			results <- result{args[n], rev, err}
		}()
	}
	a, b := <-results, <-results
	if a.err != nil {
		a, b = b, a
	}
	var conflict *operator.ConflictError
	switch {
	case bases[0] != bases[1]:
		return errors.Errorf("the operators read revisions %d and %d", bases[0], bases[1])
	case a.err != nil:
		return errors.Errorf("nobody won: %v; %v", a.err, b.err)
	case !errors.As(b.err, &conflict):
		return errors.Errorf("the edit %s won, the other ended with %v", a.name, b.err)
	case conflict.Current != a.rev || conflict.By != "operator-"+a.name:
		return errors.Errorf("the loser was told %q, want revision %d by operator-%s", conflict.Error(), a.rev, a.name)
	}
	s.revision = a.rev
	fmt.Fprintf(s.Out, "%s won: %s\n", a.name, strings.TrimSpace(b.err.Error()))
	return s.waitKnown(ctx, []string{a.name, changeBound.String()})
}
