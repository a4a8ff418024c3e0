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

// operatorSteps are the steps that edit the catalogue.
var operatorSteps = map[string]step{
	"out":      {usage: "upstream|instance|zone NAME [via INSTANCE]", minArgs: 2, run: (*Session).takeOutOfService, setsMark: true},
	"back":     {usage: "upstream|instance|zone NAME [via INSTANCE]", minArgs: 2, run: (*Session).returnToService, setsMark: true},
	"withdraw": {usage: "ACCOUNT [via INSTANCE]", minArgs: 1, run: (*Session).withdraw, setsMark: true},
	"edit":     {usage: "NOTE [via INSTANCE]", minArgs: 1, run: (*Session).addNote, setsMark: true},
	"race":     {usage: "NOTE NOTE INSTANCE INSTANCE", minArgs: 4, run: (*Session).raceEdits, setsMark: true},
}

// author is recorded as the author of edits.
const author = "scenario"

// parseVia parses "ARGS... [via INSTANCE]" and returns the arguments and the
// instance. The default is a running instance.
func (s *Session) parseVia(args []string) ([]string, lab.Instance, error) {
	if n := len(args); n > 2 && args[n-2] == "via" {
		i, ok := s.findInstance(args[n-1])
		if !ok {
			return nil, i, errors.Errorf("unknown instance %q", args[n-1])
		}
		return args[:n-2], i, nil
	}
	running := s.runningInstances()
	if len(running) == 0 {
		return nil, lab.Instance{}, errors.New("no instance is running")
	}
	return args, running[0], nil
}

func (s *Session) runningInstances() (out []lab.Instance) {
	for _, i := range s.fleet.Instances {
		if !s.stopped[string(i.ID)] {
			out = append(out, i)
		}
	}
	return out
}

// inForceTimeout is the time within which an edit must be in force.
const inForceTimeout = 4 * time.Second

// applyEdit edits the catalogue once through one instance and waits until the edit
// is in force.
func (s *Session) applyEdit(ctx context.Context, i lab.Instance, edit func(c *catalogue.Catalogue) error) error {
	c := s.fleet.OperatorClient(i)
	defer c.Close()
	cat, base, err := c.Catalogue(ctx)
	if err != nil {
		return err
	}
	if err := edit(cat); err != nil {
		return err
	}
	if s.revision, err = c.Apply(ctx, base, cat, author); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	p, err := operator.WaitInForce(ctx, c, s.revision, pollInterval)
	if err == nil && !p.InForce {
		err = errors.Errorf("revision %d is not in force after %s: learned by %d of %d members", s.revision, inForceTimeout, p.Learned, p.Members)
	}
	return err
}

func (s *Session) takeOutOfService(ctx context.Context, args []string) error {
	args, i, err := s.parseVia(args)
	if err != nil {
		return err
	}
	return s.applyEdit(ctx, i, func(c *catalogue.Catalogue) error {
		c.OutOfService = append(c.OutOfService, catalogue.Outage{
			Kind: catalogue.OutageKind(args[0]), Name: args[1], By: author, At: time.Now().UTC().Truncate(time.Millisecond),
		})
		return nil
	})
}

func (s *Session) returnToService(ctx context.Context, args []string) error {
	args, i, err := s.parseVia(args)
	if err != nil {
		return err
	}
	return s.applyEdit(ctx, i, func(c *catalogue.Catalogue) error {
		var remaining []catalogue.Outage
		for _, o := range c.OutOfService {
			if string(o.Kind) != args[0] || o.Name != args[1] {
				remaining = append(remaining, o)
			}
		}
		if len(remaining) == len(c.OutOfService) {
			return errors.Errorf("%s %s is not out of service", args[0], args[1])
		}
		c.OutOfService = remaining
		return nil
	})
}

func (s *Session) withdraw(ctx context.Context, args []string) error {
	args, i, err := s.parseVia(args)
	if err != nil {
		return err
	}
	hash := lab.CallerKey(fleet.AccountID(args[0])).Hash()
	return s.applyEdit(ctx, i, func(c *catalogue.Catalogue) error {
		var remaining []catalogue.CallerKey
		for _, k := range c.CallerKeys {
			if k.Hash != hash {
				remaining = append(remaining, k)
			}
		}
		if len(remaining) == len(c.CallerKeys) {
			return errors.Errorf("account %s has no caller key", args[0])
		}
		c.CallerKeys = remaining
		return nil
	})
}

// addNoteEntry returns an edit that adds a copy of the first entry with the given
// name as its id, by which hasNoteEntry finds it.
func addNoteEntry(name string) func(c *catalogue.Catalogue) error {
	return func(c *catalogue.Catalogue) error {
		e := c.Entries[0]
		e.ID, e.PathPrefix, e.Owner = fleet.EntryID(name), "/"+name+"/", author
		c.Entries = append(c.Entries, e)
		return nil
	}
}

func hasNoteEntry(c *catalogue.Catalogue, name string) bool {
	for _, e := range c.Entries {
		if string(e.ID) == name {
			return true
		}
	}
	return false
}

func (s *Session) addNote(ctx context.Context, args []string) error {
	args, i, err := s.parseVia(args)
	if err != nil {
		return err
	}
	return s.applyEdit(ctx, i, addNoteEntry(args[0]))
}

// raceEdits has two operators edit the same revision through two instances at the
// same time. Exactly one edit must be accepted, and the other must fail with a
// conflict that names the accepted one.
func (s *Session) raceEdits(ctx context.Context, args []string) error {
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
		i, ok := s.findInstance(args[n+2])
		if !ok {
			return errors.Errorf("unknown instance %q", args[n+2])
		}
		clients[n] = s.fleet.OperatorClient(i)
		defer clients[n].Close()
		var err error
		if edits[n], bases[n], err = clients[n].Catalogue(ctx); err != nil {
			return err
		}
		_ = addNoteEntry(args[n])(edits[n])
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
		return errors.Errorf("operators read different revisions %d and %d", bases[0], bases[1])
	case a.err != nil:
		return errors.Errorf("no edit was accepted: %v; %v", a.err, b.err)
	case !errors.As(b.err, &conflict):
		return errors.Errorf("edit %s was accepted, but the other one ended with %v, want a conflict", a.name, b.err)
	case conflict.Current != a.rev || conflict.By != "operator-"+a.name:
		return errors.Errorf("rejected edit got %q, want a conflict with revision %d by operator-%s", conflict.Error(), a.rev, a.name)
	}
	s.revision = a.rev
	fmt.Fprintf(s.Out, "%s won: %s\n", a.name, strings.TrimSpace(b.err.Error()))
	return s.waitKnown(ctx, []string{a.name, inForceTimeout.String()})
}
