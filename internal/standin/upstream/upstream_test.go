package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/upstream"
	"github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// harness runs an upstream with a client and records its history.
type harness struct {
	t       *testing.T
	server  *standin.Server
	client  *upstream.Client
	pool    *http1.Pool
	history *historyBuffer
}

// historyBuffer is a history in memory.
type historyBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *historyBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// events returns the names of the recorded events.
func (b *historyBuffer) events() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for lines := bufio.NewScanner(bytes.NewReader(b.b.Bytes())); lines.Scan(); {
		_, rest, _ := strings.Cut(lines.Text(), `"event":"`)
		name, _, _ := strings.Cut(rest, `"`)
		out = append(out, name)
	}
	return out
}

func startUpstream(t *testing.T, change func(*standin.Config)) *harness {
	t.Helper()
	r := &harness{t: t, history: &historyBuffer{}}
	cfg := standin.Config{
		Name: "u1", Service: "booking", Addr: "127.0.0.1:0", Slots: 6, ColdSlots: 2, MaxConns: 120,
		ServiceTime: time.Millisecond, ConnectTime: time.Millisecond, History: r.history, Seed: 1,
	}
	change(&cfg)
	var err error
	if r.server, err = standin.Start(cfg); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.server.Close)
	c, err := http1.NewClient()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	r.client, r.pool = upstream.New(c), c.NewPool(r.server.Addr(), http1.PoolConfig{})
	return r
}

func (r *harness) control(call upstream.Call) (upstream.Reply, error) {
	ctx, cancel := context.WithTimeout(r.t.Context(), 5*time.Second)
	defer cancel()
	call.DispatcherFence = max(call.DispatcherFence, 7)
	return r.client.Control(ctx, r.server.Addr(), call)
}

func (r *harness) grantUnits(ttl time.Duration, grants ...fleet.Grant) {
	r.t.Helper()
	reply, err := r.control(upstream.Call{Kind: dispatch.Hello, Instance: "i1"})
	if err == nil {
		_, err = r.control(upstream.Call{Kind: dispatch.Renew, Stamp: reply.Stamp, TTL: ttl})
	}
	if err == nil {
		_, err = r.control(upstream.Call{Kind: dispatch.GrantUnits, Grants: grants})
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *harness) setFault(query string) {
	r.t.Helper()
	res, err := r.pool.Do(r.t.Context(), &http1.Request{Method: http.MethodPost, Target: "/faults?" + query})
	if err != nil || res.Status != http.StatusNoContent {
		r.t.Fatalf("fault %s: %v, %v", query, res, err)
	}
}

func shard(n fleet.ShardID) fleet.Unit { return fleet.Unit{Service: "booking", Shard: n} }

func request(id fleet.RequestID, timeout time.Duration) upstream.Request {
	by := time.Now().Add(timeout)
	return upstream.Request{
		Account: "acme", Method: http.MethodPost, Target: "/book//a%2Fb?key=k1", Header: http.Header{"X-Client-Id": {"c1"}},
		Send: dispatch.SendRequest{ID: id, Unit: shard(3), Fence: 11, DispatcherFence: 7, Deadline: by, StartBy: by},
	}
}

func (r *harness) do(req upstream.Request) (*http1.Response, dispatch.Result) {
	res, err := r.client.Do(r.t.Context(), r.server.Addr(), req)
	if err != nil {
		var refusal *fleet.Refusal
		if !errors.As(err, &refusal) {
			r.t.Errorf("error %v, want a *fleet.Refusal", err)
		}
	}
	return res, upstream.Result(res, err)
}

// TestOutcomes guards against requests that run without a grant, without a lease or
// after their deadline, and against responses that the client takes for another
// outcome.
func TestOutcomes(t *testing.T) {
	pin := fleet.Unit{Service: "booking", Pin: "käse/1"}
	tests := map[string]struct {
		fault  string
		change func(*upstream.Request)
		before func(*harness)
		want   dispatch.ResultKind
		events []string
	}{
		"served":                  {want: dispatch.Answered, events: []string{"start", "effect", "end"}},
		"pin":                     {want: dispatch.Answered, change: func(q *upstream.Request) { q.Send.Unit, q.Send.Fence = pin, 12 }, events: []string{"start", "effect", "end"}},
		"unit not granted":        {want: dispatch.Stale, change: func(q *upstream.Request) { q.Send.Unit = shard(4) }, events: []string{"refuse"}},
		"lower fence":             {want: dispatch.Stale, change: func(q *upstream.Request) { q.Send.Fence = 10 }, events: []string{"refuse"}},
		"lower dispatcher fence":  {want: dispatch.Stale, change: func(q *upstream.Request) { q.Send.DispatcherFence = 6 }, events: []string{"refuse"}},
		"start-by time passed":    {want: dispatch.Skipped, change: func(q *upstream.Request) { q.Send.StartBy = time.Now() }},
		"revoked":                 {want: dispatch.Stale, before: func(r *harness) { r.revoke(11) }, events: []string{"refuse"}},
		"revoke of lower fence":   {want: dispatch.Answered, before: func(r *harness) { r.revoke(10) }, events: []string{"start", "effect", "end"}},
		"shed":                    {fault: "mode=shed", want: dispatch.Shed, events: []string{"refuse"}},
		"truncated response":      {fault: "mode=short", want: dispatch.Lost, events: []string{"start", "effect", "end"}},
		"response after deadline": {fault: "mode=freeze-answers", want: dispatch.TimedOut, change: func(q *upstream.Request) { q.Send.Deadline = time.Now().Add(50 * time.Millisecond) }, events: []string{"start", "effect", "end"}},
		"no fault":                {fault: "mode=ok", want: dispatch.Answered, events: []string{"start", "effect", "end"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := startUpstream(t, func(*standin.Config) {})
			r.grantUnits(time.Hour, fleet.Grant{Unit: shard(3), Fence: 11}, fleet.Grant{Unit: pin, Fence: 12})
			if tt.fault != "" {
				r.setFault(tt.fault)
			}
			if tt.before != nil {
				tt.before(r)
			}
			req := request("r1", 5*time.Second)
			if tt.change != nil {
				tt.change(&req)
			}
			res, got := r.do(req)
			if got.Kind != tt.want {
				t.Errorf("result %v, want %v", got.Kind, tt.want)
			}
			if got.Kind == dispatch.Answered && !strings.Contains(string(res.Body), `"request-id":"r1","account":"acme"`) {
				t.Errorf("body %s", res.Body)
			}
			if diff := cmp.Diff(tt.events, r.history.events()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func (r *harness) revoke(fence fleet.Fence) {
	r.t.Helper()
	if _, err := r.control(upstream.Call{Kind: dispatch.RevokeUnits, Grants: []fleet.Grant{{Unit: shard(3), Fence: fence}}}); err != nil {
		r.t.Fatal(err)
	}
}

// TestCrossed guards against accepting a response that belongs to another request.
func TestCrossed(t *testing.T) {
	r := startUpstream(t, func(*standin.Config) {})
	r.grantUnits(time.Hour, fleet.Grant{Unit: shard(3), Fence: 11})
	r.setFault("mode=crossed")
	_, first := r.do(request("r1", 5*time.Second))
	_, second := r.do(request("r2", 5*time.Second))
	if first.Kind != dispatch.Answered || second.Kind != dispatch.BadAnswer {
		t.Errorf("results %v and %v", first.Kind, second.Kind)
	}
}

// TestLeaseEndsDuringRequest guards against a request that takes effect although the
// lease ended while it ran.
func TestLeaseEndsDuringRequest(t *testing.T) {
	r := startUpstream(t, func(c *standin.Config) { c.ServiceTime = 400 * time.Millisecond })
	r.grantUnits(150*time.Millisecond, fleet.Grant{Unit: shard(3), Fence: 11})
	_, got := r.do(request("r1", 5*time.Second))
	if got.Kind != dispatch.Stale {
		t.Errorf("result %v", got.Kind)
	}
	for _, e := range r.history.events() {
		if e == "effect" {
			t.Error("the request took effect after the end of the lease")
		}
	}
}

// TestControl guards against accepting calls of an earlier dispatcher, delayed calls
// and renewals with an outdated stamp.
func TestControl(t *testing.T) {
	c := standin.NewControl(false)
	unit := shard(3)
	grant := func(f fleet.Fence) []fleet.Grant { return []fleet.Grant{{Unit: unit, Fence: f}} }
	steps := []struct {
		now  dispatch.Stamp
		call dispatch.Call
		want bool
		held bool
	}{
		{1, dispatch.Call{Kind: dispatch.Hello, DispatcherFence: 7}, true, false},
		{2, dispatch.Call{Kind: dispatch.Hello, DispatcherFence: 6}, false, false},
		{3, dispatch.Call{Kind: dispatch.GrantUnits, DispatcherFence: 7, Grants: grant(11)}, false, false}, // no lease
		{4, dispatch.Call{Kind: dispatch.Renew, DispatcherFence: 7, Stamp: 9, TTL: 100}, false, false},     // stamp of another boot
		{5, dispatch.Call{Kind: dispatch.Renew, DispatcherFence: 7, Stamp: 3, TTL: 100}, true, false},
		{6, dispatch.Call{Kind: dispatch.GrantUnits, DispatcherFence: 7, Grants: grant(11)}, true, true},
		{7, dispatch.Call{Kind: dispatch.GrantUnits, DispatcherFence: 7, Grants: grant(10)}, false, true},
		{8, dispatch.Call{Kind: dispatch.RevokeUnits, DispatcherFence: 7, Grants: grant(12)}, true, false},
		{9, dispatch.Call{Kind: dispatch.GrantUnits, DispatcherFence: 7, Grants: grant(12)}, false, false}, // overtaken by its revocation
		{10, dispatch.Call{Kind: dispatch.GrantUnits, DispatcherFence: 7, Grants: grant(13)}, true, true},
		{11, dispatch.Call{Kind: dispatch.Hello, DispatcherFence: 8}, true, true},
		{12, dispatch.Call{Kind: dispatch.RevokeUnits, DispatcherFence: 7, Grants: grant(13)}, false, true},
		{103, dispatch.Call{Kind: dispatch.Renew, DispatcherFence: 8, Stamp: 11, TTL: 100}, true, false}, // lease expired at 103
		{104, dispatch.Call{Kind: dispatch.GrantUnits, DispatcherFence: 8, Grants: grant(13)}, true, true},
		{120, dispatch.Call{Kind: dispatch.Renew, DispatcherFence: 8, Stamp: 12, TTL: 100}, true, false}, // lease expired at 111
	}
	for i, s := range steps {
		got := c.Apply(s.now, s.call)
		if _, held := c.Held(s.now, unit); got != s.want || held != s.held {
			t.Errorf("step %d: accepted %t, held %t; want %t, %t", i, got, held, s.want, s.held)
		}
	}
}

// TestOverload guards against a cold upstream that runs more requests than its cold
// slots without becoming overloaded, and against an overload that is not recorded in
// the history.
func TestOverload(t *testing.T) {
	r := startUpstream(t, func(c *standin.Config) { c.WarmTime, c.ServiceTime = time.Hour, 50*time.Millisecond })
	r.grantUnits(time.Hour, fleet.Grant{Unit: shard(3), Fence: 11})
	var wg sync.WaitGroup
	for _, id := range []fleet.RequestID{"r1", "r2", "r3"} {
		wg.Go(func() {
			if res, got := r.do(request(id, 5*time.Second)); got.Status != http.StatusServiceUnavailable {
				t.Errorf("%s: result %+v, response %v", id, got, res)
			}
		})
	}
	wg.Wait()
	if !strings.Contains(strings.Join(r.history.events(), " "), "overload") {
		t.Errorf("events %v", r.history.events())
	}
}

// TestSuperseded guards against a client that cannot distinguish a call refused for
// its lower dispatcher fence from a lost connection.
func TestSuperseded(t *testing.T) {
	r := startUpstream(t, func(*standin.Config) {})
	_, err := r.control(upstream.Call{Kind: dispatch.Hello, DispatcherFence: 9})
	if err == nil {
		_, err = r.control(upstream.Call{Kind: dispatch.Hello, DispatcherFence: 8})
	}
	var refused *upstream.RefusedError
	if !errors.As(err, &refused) || refused.Fence != 9 {
		t.Errorf("error %v", err)
	}
}
