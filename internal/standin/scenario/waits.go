package scenario

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Waits take their bound as the last argument.
var waitSteps = map[string]step{
	"wait-served":       {usage: "[via INSTANCE] BOUND: every tried key is served through every running instance", min: 1, run: (*Session).waitServed, marks: true},
	"wait-refused":      {usage: "ACCOUNT INSTANCE STATUS BOUND: requests are refused with the status", min: 4, run: (*Session).waitRefused, marks: true},
	"wait-dropped":      {usage: "INSTANCE BOUND: it is no member any more", min: 2, run: (*Session).waitDropped, marks: true},
	"wait-lost":         {usage: "UPSTREAM BOUND: it is known as lost", min: 2, run: (*Session).waitLost, marks: true},
	"wait-ready":        {usage: "INSTANCE BOUND: its readiness check passes and it is a member", min: 2, run: (*Session).waitReady, marks: true},
	"wait-known":        {usage: "NOTE BOUND: every running instance knows the edit", min: 2, run: (*Session).waitKnown, marks: true},
	"wait-no-authority": {usage: "INSTANCE BOUND: it refuses for want of authority", min: 2, run: (*Session).waitNoAuthority, marks: true},
	"wait-work":         {usage: "N BOUND: N more requests ran at the upstreams", min: 2, run: (*Session).waitWork, marks: true},
}

const (
	waitEvery = 50 * time.Millisecond
	askBound  = time.Second // of one question within a wait
)

// until asks until f returns nil, at most for the last argument.
func (s *Session) until(ctx context.Context, args []string, f func(ctx context.Context) error) error {
	limit, err := time.ParseDuration(args[len(args)-1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(waitEvery)
	defer tick.Stop()
	last := errors.New("not answered")
	for {
		ask, done := context.WithTimeout(ctx, askBound)
		err := f(ask)
		done()
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(last, "after %s", limit)
		case <-tick.C:
		}
	}
}

func (s *Session) status(ctx context.Context, i lab.Instance) (operator.Status, error) {
	c := s.fleet.Operator(i)
	defer c.Close()
	return c.Status(ctx)
}

// triedKeys is enough that every upstream of a small fleet owns one.
const triedKeys = 12

func (s *Session) waitServed(ctx context.Context, args []string) error {
	through := s.running()
	if len(args) > 2 && args[0] == "via" {
		i, ok := s.instance(args[1])
		if !ok {
			return errors.Errorf("no instance %q", args[1])
		}
		through = []lab.Instance{i}
	}
	for _, i := range through {
		next := 0 // keys are served in order, so that a cold upstream gets one request at a time
		if err := s.until(ctx, args, func(ctx context.Context) error {
			for ; next < triedKeys; next++ {
				if status, body, err := s.ask(ctx, i, s.fleet.Shape.Accounts[0].ID, next); err != nil || status != http.StatusOK {
					return errors.Errorf("key %d through %s: status %d: %s %v", next, i.ID, status, body, err)
				}
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// ask sends one request with an account's caller key.
func (s *Session) ask(ctx context.Context, i lab.Instance, account fleet.AccountID, key int) (int, []byte, error) {
	p := s.client.NewPool(i.Caller, http1.PoolConfig{})
	defer p.Close()
	h := http.Header{"Authorization": {"Bearer " + string(lab.CallerKey(account))}}
	h.Set(fleet.HeaderDeadline, "800")
	res, err := p.Do(ctx, &http1.Request{Method: http.MethodGet, Target: s.fleet.Shape.Services[0].Prefix() + "k" + strconv.Itoa(key), Header: h})
	if err != nil {
		return 0, nil, err
	}
	return res.Status, res.Body, nil
}

func (s *Session) waitRefused(ctx context.Context, args []string) error {
	i, ok := s.instance(args[1])
	want, err := strconv.Atoi(args[2])
	if !ok || err != nil {
		return errors.Errorf("no instance %q or no status %q", args[1], args[2])
	}
	return s.until(ctx, args, func(ctx context.Context) error {
		if got, body, err := s.ask(ctx, i, fleet.AccountID(args[0]), 0); err != nil || got != want {
			return errors.Errorf("status %d, want %d: %s %v", got, want, body, err)
		}
		return nil
	})
}

func (s *Session) waitNoAuthority(ctx context.Context, args []string) error {
	i, ok := s.instance(args[0])
	if !ok {
		return errors.Errorf("no instance %q", args[0])
	}
	return s.until(ctx, args, func(ctx context.Context) error {
		if got, body, err := s.ask(ctx, i, s.fleet.Shape.Accounts[0].ID, 0); err != nil || !bytes.Contains(body, []byte(fleet.ReasonNoAuthority)) {
			return errors.Errorf("status %d: %s %v", got, body, err)
		}
		return nil
	})
}

func (s *Session) waitDropped(ctx context.Context, args []string) error {
	return s.until(ctx, args, func(ctx context.Context) error {
		st, err := s.status(ctx, s.other(args[0]))
		if err == nil && slices.ContainsFunc(st.Members, func(m operator.MemberStatus) bool { return string(m.ID) == args[0] }) {
			err = errors.Errorf("%s is a member of assignment %d", args[0], st.Assignment)
		}
		return err
	})
}

// other returns a running instance that is not the named one.
func (s *Session) other(name string) (out lab.Instance) {
	for _, i := range s.running() {
		if string(i.ID) != name {
			return i
		}
	}
	return out
}

func (s *Session) waitLost(ctx context.Context, args []string) error {
	return s.until(ctx, args, func(ctx context.Context) error {
		st, err := s.status(ctx, s.other(""))
		if err != nil {
			return err
		}
		for _, u := range st.Upstreams {
			if string(u.ID) == args[0] && u.State != "lost" {
				return errors.Errorf("%s is %s", u.ID, u.State)
			}
		}
		return nil
	})
}

func (s *Session) waitReady(ctx context.Context, args []string) error {
	i, ok := s.instance(args[0])
	if !ok {
		return errors.Errorf("no instance %q", args[0])
	}
	return s.until(ctx, args, func(ctx context.Context) error {
		p := s.client.NewPool(i.Caller, http1.PoolConfig{})
		defer p.Close()
		res, err := p.Do(ctx, &http1.Request{Method: http.MethodGet, Target: "/-/ready"})
		if err != nil {
			return err
		}
		if res.Status != http.StatusOK {
			return errors.Errorf("readiness: status %d: %s", res.Status, res.Body)
		}
		st, err := s.status(ctx, i)
		if err == nil && !slices.ContainsFunc(st.Members, func(m operator.MemberStatus) bool { return m.ID == i.ID && st.Instance == i.ID }) {
			err = errors.New("it is no member")
		}
		return err
	})
}

func (s *Session) waitKnown(ctx context.Context, args []string) error {
	for _, i := range s.running() {
		if err := s.until(ctx, args, func(ctx context.Context) error {
			c := s.fleet.Operator(i)
			defer c.Close()
			cat, rev, err := c.Catalogue(ctx)
			if err == nil && (rev < s.revision || !noted(cat, args[0])) {
				err = errors.Errorf("%s has catalogue %d without the entry %s", i.ID, rev, args[0])
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// waitWork counts effects at upstreams, whose histories are not buffered.
func (s *Session) waitWork(ctx context.Context, args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	count := func() (n int) {
		names, _ := filepath.Glob(filepath.Join(s.Dir, "upstream-*.jsonl"))
		for _, name := range names {
			data, _ := os.ReadFile(name)
			n += bytes.Count(data, []byte(`"event":"effect"`))
		}
		return n
	}
	first := count()
	return s.until(ctx, args, func(context.Context) error {
		if n := count() - first; n < want {
			return errors.Errorf("%d requests ran", n)
		}
		return nil
	})
}
