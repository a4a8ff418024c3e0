package direct

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against waits on the way from the store's acknowledgement that an upstream leaves
// to the last request sent there that together exceed the platform's bound: each is short,
// and they were not added up.
func TestWaitsUntilLastRequestAddUp(t *testing.T) {
	for name, c := range map[string]struct {
		instances int
		bound     time.Duration
	}{
		"12 instances":            {12, 2 * time.Second},
		"30 instances, low bound": {30, 2 * time.Second},
		"70 instances":            {70, 2500 * time.Millisecond},
		"300 instances":           {300, 2500 * time.Millisecond},
	} {
		for path, waits := range map[string][]time.Duration{
			// The reply that a new list wakes may be late by the margin; after that the
			// instance reads the list itself.
			"through the leader": {listInterval, storeTimeout, replyTimeoutMargin, sendMargin},
			// One storeTimeout covers all pages of the list.
			"without the leader": {listAgeLimit(c.instances, c.bound), stalenessPoll, storeTimeout, sendMargin},
		} {
			var sum time.Duration
			for _, wait := range waits {
				sum += wait
			}
			if sum > c.bound {
				t.Errorf("%s, %s: the waits %v add up to %v, want at most %v", name, path, waits, sum, c.bound)
			}
		}
		if got, want := listAgeLimit(c.instances, c.bound), longPollWait(c.instances)+listInterval; c.instances != 30 && got < want {
			t.Errorf("%s: lists are read after %v, although the leader's may be %v old", name, got, want)
		}
	}
}

// holdingRouter returns an instance whose list of the given time has one upstream, which
// holds all keys of a service.
func holdingRouter(t *testing.T, listedAt time.Time, addr string) (*Router, *exchange, balance.Registration) {
	t.Helper()
	r, _ := newRouter(t, "a")
	r.cfg.LeavingUse = 2500 * time.Millisecond
	r.setHolderMap(&keyspace.Map{Version: keyspace.MapVersion{Term: 1, Seq: 1}, Services: map[fleet.ServiceID][]keyspace.HeldSpan{
		"s": {{Span: keyspace.Span{From: 0, To: 65535}, Holder: "u"}},
	}})
	registration := balance.Registration{ID: "u", Service: "s", Addr: addr, Slots: 6, Boot: "1"}
	r.setUpstreams(listedAt, listedAt, []balance.Registration{registration})
	x := &exchange{route: &routes.Route{Target: time.Second, Timeout: time.Second}, service: routes.Service{ID: "s", Sharded: true}, receivedAt: listedAt}
	return r, x, registration
}

// Guards against requests to the holder of a key that start to count the time until its
// keys must have moved when the instance learned, late, that it leaves.
func TestHolderUseCountsFromEarliestLeave(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		learn func(*Router, balance.Registration)
		times []int // in ms; the holder may be used at the first one only
	}{
		"late list": {func(r *Router, registration balance.Registration) {
			registration.Draining = true
			r.setUpstreams(at(2100), at(1600), []balance.Registration{registration})
		}, []int{2150, 2250, 2500, 2900}},
		"answer": {func(r *Router, _ balance.Registration) {
			r.noteLeaving(at(0), r.upstreams.Get("u"), "r1", "answer")
		}, []int{850, 950, 1500, 2250}},
	} {
		r, x, registration := holdingRouter(t, at(0), "1.2.3.4:5")
		c.learn(r, registration)
		var got []string
		for _, ms := range c.times {
			_, reason, _ := r.chooseHolder(at(ms), x)
			got = append(got, reason)
		}
		if diff := cmp.Diff([]string{"", "holder-leaves", "holder-leaves", "holder-leaves"}, got); diff != "" {
			t.Errorf("%s: reasons against the use of the holder after %v ms: %s", name, c.times, diff)
		}
	}
}

// Guards against requests that were decided on while an upstream was usable and reach it
// after that, because they had to wait for a connection.
func TestRequestIsCheckedOnceConnected(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, change := range map[string]func(*Router, *balance.Entry){
		"leaves": func(r *Router, u *balance.Entry) { r.noteLeaving(time.Now(), u, "r1", "answer") },
		"gone":   func(r *Router, _ *balance.Entry) { r.setUpstreams(time.Now(), time.Now(), nil) },
		"pauses": func(r *Router, u *balance.Entry) {
			r.notePause(time.Now(), u, balance.Pause{Asked: true, For: time.Second}, "r1", "answer")
		},
	} {
		r, x, _ := holdingRouter(t, time.Now(), ln.Addr().String())
		x.service.Sharded, x.deadline = false, time.Now().Add(time.Second)
		upstream, _ := r.chooseUpstream(t.Context(), time.Now(), x, make(map[fleet.UpstreamID]bool))
		change(r, upstream)
		transport := http1.NewTransport(http1.TransportConfig{DialTimeout: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second) // the listener does not answer
		_, err := transport.Do(ctx, ln.Addr().String(), &http1.Request{
			Method: "GET", Target: "/", BeforeWrite: func() error { return r.checkSend(time.Now(), x, upstream) },
		}, nil)
		cancel()
		var notSent *http1.NotSentError
		if !errors.As(err, &notSent) || !errors.Is(err, errNotAllowed) {
			t.Errorf("upstream %s: error %v, want that the request was not sent", name, err)
		}
	}
}
