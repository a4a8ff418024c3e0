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

// waitSteps are the steps that wait for a condition. Their last argument is the
// time limit.
var waitSteps = map[string]step{
	"wait-served":       {usage: "[via INSTANCE] BOUND: wait until requests for several keys are served through every running instance or the given one", minArgs: 1, run: (*Session).waitServed, setsMark: true},
	"wait-refused":      {usage: "ACCOUNT INSTANCE STATUS BOUND: wait until a request of the account gets the status from the instance", minArgs: 4, run: (*Session).waitRefused, setsMark: true},
	"wait-dropped":      {usage: "INSTANCE BOUND: wait until the instance is no longer a member", minArgs: 2, run: (*Session).waitNotMember, setsMark: true},
	"wait-lost":         {usage: "UPSTREAM BOUND: wait until the upstream's state is lost", minArgs: 2, run: (*Session).waitLost, setsMark: true},
	"wait-ready":        {usage: "INSTANCE BOUND: wait until the instance passes its readiness check and is a member", minArgs: 2, run: (*Session).waitReady, setsMark: true},
	"wait-known":        {usage: "NOTE BOUND: wait until every running instance has the edit", minArgs: 2, run: (*Session).waitKnown, setsMark: true},
	"wait-no-authority": {usage: "INSTANCE BOUND: wait until the instance refuses a request with the reason no-authority", minArgs: 2, run: (*Session).waitNoAuthority, setsMark: true},
	"wait-work":         {usage: "N BOUND: wait until N more requests were executed at the upstreams", minArgs: 2, run: (*Session).waitWork, setsMark: true},
}

const (
	pollInterval   = 50 * time.Millisecond
	requestTimeout = time.Second // limit of one attempt
)

// poll calls f every pollInterval until it returns nil, or until the time limit in
// the last argument has passed.
func (s *Session) poll(ctx context.Context, args []string, f func(ctx context.Context) error) error {
	limit, err := time.ParseDuration(args[len(args)-1])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	lastErr := errors.New("no attempt ended")
	for {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, requestTimeout)
		err := f(attemptCtx)
		cancelAttempt()
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(lastErr, "condition not met after %s", limit)
		case <-tick.C:
		}
	}
}

func (s *Session) status(ctx context.Context, i lab.Instance) (operator.Status, error) {
	c := s.fleet.OperatorClient(i)
	defer c.Close()
	return c.Status(ctx)
}

// triedKeyCount is the number of keys that waitServed requests. Every upstream of
// a small fleet owns at least one of them.
const triedKeyCount = 12

func (s *Session) waitServed(ctx context.Context, args []string) error {
	instances := s.runningInstances()
	if len(args) > 2 && args[0] == "via" {
		i, ok := s.findInstance(args[1])
		if !ok {
			return errors.Errorf("unknown instance %q", args[1])
		}
		instances = []lab.Instance{i}
	}
	for _, i := range instances {
		next := 0 // keys are requested one after the other, so that a cold upstream gets one request at a time
		if err := s.poll(ctx, args, func(ctx context.Context) error {
			for ; next < triedKeyCount; next++ {
				if status, body, err := s.sendRequest(ctx, i, s.fleet.Shape.Accounts[0].ID, next); err != nil || status != http.StatusOK {
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

// sendRequest sends one request with the account's caller key through an instance,
// and returns the status and the body of the response.
func (s *Session) sendRequest(ctx context.Context, i lab.Instance, account fleet.AccountID, key int) (int, []byte, error) {
	p := s.client.NewPool(i.CallerAddr, http1.PoolConfig{})
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
	i, ok := s.findInstance(args[1])
	want, err := strconv.Atoi(args[2])
	if !ok || err != nil {
		return errors.Errorf("unknown instance %q or invalid status %q", args[1], args[2])
	}
	return s.poll(ctx, args, func(ctx context.Context) error {
		if got, body, err := s.sendRequest(ctx, i, fleet.AccountID(args[0]), 0); err != nil || got != want {
			return errors.Errorf("status %d, want %d: %s %v", got, want, body, err)
		}
		return nil
	})
}

func (s *Session) waitNoAuthority(ctx context.Context, args []string) error {
	i, ok := s.findInstance(args[0])
	if !ok {
		return errors.Errorf("unknown instance %q", args[0])
	}
	return s.poll(ctx, args, func(ctx context.Context) error {
		if got, body, err := s.sendRequest(ctx, i, s.fleet.Shape.Accounts[0].ID, 0); err != nil || !bytes.Contains(body, []byte(fleet.ReasonNoAuthority)) {
			return errors.Errorf("status %d: %s %v", got, body, err)
		}
		return nil
	})
}

func (s *Session) waitNotMember(ctx context.Context, args []string) error {
	return s.poll(ctx, args, func(ctx context.Context) error {
		st, err := s.status(ctx, s.otherInstance(args[0]))
		if err == nil && slices.ContainsFunc(st.Members, func(m operator.MemberStatus) bool { return string(m.ID) == args[0] }) {
			err = errors.Errorf("%s is a member of assignment %d", args[0], st.AssignmentRevision)
		}
		return err
	})
}

// otherInstance returns a running instance other than the named one.
func (s *Session) otherInstance(name string) (out lab.Instance) {
	for _, i := range s.runningInstances() {
		if string(i.ID) != name {
			return i
		}
	}
	return out
}

func (s *Session) waitLost(ctx context.Context, args []string) error {
	return s.poll(ctx, args, func(ctx context.Context) error {
		st, err := s.status(ctx, s.otherInstance(""))
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
	i, ok := s.findInstance(args[0])
	if !ok {
		return errors.Errorf("unknown instance %q", args[0])
	}
	return s.poll(ctx, args, func(ctx context.Context) error {
		p := s.client.NewPool(i.CallerAddr, http1.PoolConfig{})
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
			err = errors.New("instance is not a member")
		}
		return err
	})
}

func (s *Session) waitKnown(ctx context.Context, args []string) error {
	for _, i := range s.runningInstances() {
		if err := s.poll(ctx, args, func(ctx context.Context) error {
			c := s.fleet.OperatorClient(i)
			defer c.Close()
			cat, rev, err := c.Catalogue(ctx)
			if err == nil && (rev < s.revision || !hasNoteEntry(cat, args[0])) {
				err = errors.Errorf("%s has catalogue revision %d without the entry %s", i.ID, rev, args[0])
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

// waitWork waits until more requests have taken effect at the upstreams. It reads
// their history files, which are written without buffering.
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
	return s.poll(ctx, args, func(context.Context) error {
		if n := count() - first; n < want {
			return errors.Errorf("%d requests were executed, want %d", n, want)
		}
		return nil
	})
}
