package platform_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/store"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const key = "parsley/test"

func startStore(t *testing.T, cfg store.Config) *store.Server {
	t.Helper()
	s, err := store.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newClient(t *testing.T) *http1.Client {
	t.Helper()
	c, err := http1.NewClient()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func newStore(t *testing.T, addr string) *platform.Store {
	t.Helper()
	s := platform.NewStore(newClient(t), addr)
	t.Cleanup(s.Close)
	return s
}

func setFault(t *testing.T, s *store.Server, f store.Fault) {
	t.Helper()
	if err := s.SetFault(time.Now(), f); err != nil {
		t.Fatal(err)
	}
}

func swap(t *testing.T, s *platform.Store, expect fleet.Revision, value, by string) fleet.Revision {
	t.Helper()
	rev, err := s.Swap(testContext(t), key, expect, []byte(value), by, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// testContext returns a context that ends a call that would otherwise hang.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestSwapAndChanges checks that Changes returns the values, writers and revisions
// that Swap stored.
func TestSwapAndChanges(t *testing.T) {
	s := newStore(t, startStore(t, store.Config{}).Addr())
	at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	want := platform.Changes{Revision: 3}
	for i, value := range []string{`{"a": [1]}`, "yaml: text\n", ""} {
		k := key + string(rune('a'+i))
		rev, err := s.Swap(testContext(t), k, 0, []byte(value), "op", at)
		if err != nil {
			t.Fatal(err)
		}
		want.Records = append(want.Records, platform.Record{
			Key: k, Value: []byte(value), Revision: rev, By: "op", At: at, Base: []platform.Write{{}},
		})
	}
	got, err := s.Changes(testContext(t), key, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	ids := make(map[string]bool)
	for i := range got.Records {
		ids[got.Records[i].WriteID] = true
		got.Records[i].WriteID = ""
	}
	if diff := cmp.Diff(want, got); diff != "" || len(ids) != 3 {
		t.Errorf("write ids %v, %s", ids, diff)
	}
}

// TestConflictNamesWinner checks that a ConflictError names the writer of the
// current revision.
func TestConflictNamesWinner(t *testing.T) {
	s := newStore(t, startStore(t, store.Config{}).Addr())
	base := swap(t, s, 0, "{}", "alice")
	won := swap(t, s, base, "{}", "bob")
	_, err := s.Swap(testContext(t), key, base, []byte("{}"), "carol", time.Now())
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("Swap = %v, want a ConflictError", err)
	}
	if diff := cmp.Diff(&platform.ConflictError{Key: key, Expected: base, Current: won, By: "bob"}, conflict); diff != "" {
		t.Error(diff)
	}
}

// TestLostAnswerIsReadBack guards against a write that took effect and is reported
// as failed because its answer was lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	server := startStore(t, store.Config{})
	s := newStore(t, server.Addr())
	base := swap(t, s, 0, "{}", "alice")
	setFault(t, server, store.Fault{Mode: store.ModeLoseAnswers})
	if diff := cmp.Diff(base+1, swap(t, s, base, `{"n":1}`, "alice")); diff != "" {
		t.Error(diff)
	}
	got, err := s.Changes(testContext(t), key, base, 0)
	if err != nil || len(got.Records) != 1 || string(got.Records[0].Value) != `{"n":1}` {
		t.Errorf("Changes = %+v, %v", got, err)
	}
}

// TestLostAnswerFoundInHistory guards against a write that is reported as failed,
// or repeated, because another writer replaced it before the read-back.
func TestLostAnswerFoundInHistory(t *testing.T) {
	server := startStore(t, store.Config{})
	net, addr := startRelay(t, server.Addr())
	s, other := newStore(t, addr), newStore(t, server.Addr())
	base := swap(t, s, 0, "{}", "alice")
	applyFault(t, net, relay.Fault{Mode: relay.ModeCut, Direction: relay.ToClient})
	type outcome struct {
		rev fleet.Revision
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		rev, err := s.Swap(testContext(t), key, base, []byte("{}"), "alice", time.Now())
		done <- outcome{rev, err}
	}()
	c, err := other.Changes(testContext(t), key, base, 5*time.Second)
	if err != nil || len(c.Records) != 1 {
		t.Fatalf("Changes = %+v, %v", c, err)
	}
	swap(t, other, c.Records[0].Revision, "{}", "bob")
	applyFault(t, net, relay.Fault{Mode: relay.ModeOK})
	if got := <-done; got.err != nil || got.rev != base+1 {
		t.Errorf("Swap = %d, %v, want %d", got.rev, got.err, base+1)
	}
}

// TestDelayedWriteTakesEffectOnce guards against a delayed write that takes effect
// twice, or after another outcome was reported.
func TestDelayedWriteTakesEffectOnce(t *testing.T) {
	server := startStore(t, store.Config{})
	net, addr := startRelay(t, server.Addr())
	s := newStore(t, addr)
	base := swap(t, s, 0, "{}", "alice")
	applyFault(t, net, relay.Fault{Mode: relay.ModeHold, Direction: relay.ToTarget})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second) // longer than the timeout of the first attempt
	defer cancel()
	_, err := s.Swap(ctx, key, base, []byte("{}"), "alice", time.Now())
	var unknown *platform.UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("Swap while held = %v, want an UnknownError", err)
	}
	applyFault(t, net, relay.Fault{Mode: relay.ModeOK})
	c, err := newStore(t, server.Addr()).Changes(testContext(t), key, base, 5*time.Second)
	if err != nil || len(c.Records) != 1 || c.Records[0].WriteID != unknown.WriteID || c.Revision != base+1 {
		t.Errorf("Changes = %+v, %v, want write %s at %d", c, err, unknown.WriteID, base+1)
	}
}

// TestSilentConnection guards against reusing a connection that does not respond.
func TestSilentConnection(t *testing.T) {
	server := startStore(t, store.Config{})
	net, addr := startRelay(t, server.Addr())
	s := newStore(t, addr)
	base := swap(t, s, 0, "{}", "alice")
	applyFault(t, net, relay.Fault{Mode: relay.ModeSilent})
	start := time.Now()
	_, err := s.Changes(testContext(t), key, 0, 0)
	var unavailable *platform.UnavailableError
	if !errors.As(err, &unavailable) || time.Since(start) > time.Second {
		t.Errorf("Changes on the silent connection = %v after %v", err, time.Since(start))
	}
	if _, err := s.Changes(testContext(t), key, 0, 0); err != nil {
		t.Errorf("Changes on a new connection: %v", err)
	}
	applyFault(t, net, relay.Fault{Mode: relay.ModeSilent})
	if rev := swap(t, s, base, "{}", "alice"); rev != base+1 {
		t.Errorf("revision = %d, want %d", rev, base+1)
	}
}

// TestOutage guards against reads that hang during an outage, writes that are
// reported as failed for certain, and an outage that lasts longer for the client
// than for the store.
func TestOutage(t *testing.T) {
	server := startStore(t, store.Config{})
	s := newStore(t, server.Addr())
	base := swap(t, s, 0, "{}", "alice")
	setFault(t, server, store.Fault{Mode: store.ModeDown})
	var unavailable *platform.UnavailableError
	if _, err := s.Changes(testContext(t), key, 0, 0); !errors.As(err, &unavailable) {
		t.Errorf("Changes = %v, want an UnavailableError", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var unknown *platform.UnknownError
	if _, err := s.Swap(ctx, key, base, []byte("{}"), "alice", time.Now()); !errors.As(err, &unknown) {
		t.Errorf("Swap = %v, want an UnknownError", err)
	}
	setFault(t, server, store.Fault{Mode: store.ModeDown, Duration: 300 * time.Millisecond})
	if rev := swap(t, s, base, "{}", "alice"); rev != base+1 {
		t.Errorf("revision = %d, want %d", rev, base+1)
	}
	server.Close()
	waitUntil(t, func() bool { // connections are refused, so nothing is sent
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := newStore(t, server.Addr()).Swap(ctx, key, base+1, []byte("{}"), "alice", time.Now())
		return errors.As(err, &unavailable)
	})
}

// TestSlowStore guards against timeouts that are too short for a slow store.
func TestSlowStore(t *testing.T) {
	server := startStore(t, store.Config{})
	s := newStore(t, server.Addr())
	setFault(t, server, store.Fault{Mode: store.ModeSlow, Delay: 700 * time.Millisecond})
	rev := swap(t, s, 0, "{}", "alice")
	if c, err := s.Changes(testContext(t), key, 0, 0); err != nil || c.Revision != rev {
		t.Errorf("Changes = %+v, %v, want revision %d", c, err, rev)
	}
}

// TestThrottledAndRejected guards against throttling that is reported as an outage,
// and against an oversized value that is sent repeatedly.
func TestThrottledAndRejected(t *testing.T) {
	s := newStore(t, startStore(t, store.Config{WritesPerSecond: 1, ReadsPerSecond: 1}).Addr())
	rev := swap(t, s, 0, "{}", "alice")
	_, err := s.Swap(testContext(t), key, rev, nil, "alice", time.Now())
	var throttled *platform.ThrottledError
	if !errors.As(err, &throttled) {
		t.Errorf("Swap = %v, want a ThrottledError", err)
	}
	s = newStore(t, startStore(t, store.Config{}).Addr())
	_, err = s.Swap(testContext(t), key, 0, make([]byte, 1<<20), "alice", time.Now())
	var rejected *platform.RejectedError
	if !errors.As(err, &rejected) || rejected.Status != 413 {
		t.Errorf("Swap = %v, want a RejectedError with 413", err)
	}
}

// TestCompetingWriters guards against updates that are lost or applied twice when
// concurrent writers lose answers.
func TestCompetingWriters(t *testing.T) {
	server := startStore(t, store.Config{WritesPerSecond: 1 << 20, ReadsPerSecond: 1 << 20})
	const writers, perWriter = 4, 30
	var wg sync.WaitGroup
	var unknown atomic.Int64
	for range writers {
		s := newStore(t, server.Addr())
		wg.Go(func() {
			for range perWriter {
				if !increment(t, s) {
					unknown.Add(1)
				}
			}
		})
	}
	ticker := time.NewTicker(2 * time.Millisecond) // paces the faults; no check depends on it
	defer ticker.Stop()
	for range 20 {
		setFault(t, server, store.Fault{Mode: store.ModeLoseAnswers})
		<-ticker.C
		setFault(t, server, store.Fault{Mode: store.ModeOK})
		<-ticker.C
	}
	wg.Wait()
	c, err := newStore(t, server.Addr()).Changes(testContext(t), key, 0, 0)
	if err != nil || len(c.Records) != 1 {
		t.Fatalf("Changes = %+v, %v", c, err)
	}
	n, err := strconv.ParseInt(string(c.Records[0].Value), 10, 64)
	if err != nil || n < writers*perWriter-unknown.Load() || n > writers*perWriter || n != int64(c.Revision) {
		t.Errorf("count = %d, %v at revision %d, want %d, of which %d are unknown", n, err, c.Revision, writers*perWriter, unknown.Load())
	}
}

// increment adds 1 to the number stored under key and reports whether the update is
// known to have taken effect.
func increment(t *testing.T, s *platform.Store) bool {
	for {
		c, err := s.Changes(testContext(t), key, 0, 0)
		if err != nil {
			t.Error(err)
			return false
		}
		var expect fleet.Revision
		n := 0
		if len(c.Records) > 0 {
			expect = c.Records[0].Revision
			n, _ = strconv.Atoi(string(c.Records[0].Value))
		}
		_, err = s.Swap(testContext(t), key, expect, []byte(strconv.Itoa(n+1)), "writer", time.Now())
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err == nil
		}
	}
}

// TestList guards against an instance list that is decoded wrongly, and against an
// outage of the list that is not reported.
func TestList(t *testing.T) {
	server := startStore(t, store.Config{Lag: -1})
	l := platform.NewList(newClient(t), server.Addr())
	want := []platform.Listed{
		{Name: "i1", Kind: platform.KindInstance, Address: "127.0.0.1:1", Zone: "z1", State: platform.StateLeaving},
		{Name: "u1", Kind: platform.KindUpstream, Service: "s", Address: "127.0.0.1:2", Zone: "z2", State: platform.StateLive, Boot: "b"},
	}
	for _, entry := range want {
		server.SetInstance(time.Now(), entry)
	}
	got, err := l.Fetch(testContext(t))
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
	server.Close()
	waitUntil(t, func() bool {
		_, err := l.Fetch(testContext(t))
		var unavailable *platform.UnavailableError
		return errors.As(err, &unavailable)
	})
}

// waitUntil fails the test if the condition does not become true within 5 s.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
	}
}

func startRelay(t *testing.T, target string) (s *relay.Server, addr string) {
	t.Helper()
	s, err := relay.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if addr, err = s.AddRoute("store", "127.0.0.1:0", target); err != nil {
		t.Fatal(err)
	}
	return s, addr
}

func applyFault(t *testing.T, s *relay.Server, f relay.Fault) {
	t.Helper()
	if err := s.SetFault("store", f); err != nil {
		t.Fatal(err)
	}
}
