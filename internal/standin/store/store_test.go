package store

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
)

type harness struct {
	*testing.T
	server *Server
	pool   *http1.Pool
}

func startStore(t *testing.T, cfg Config) harness {
	t.Helper()
	s, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	client, err := http1.NewClient()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return harness{T: t, server: s, pool: client.NewPool(s.Addr(), http1.PoolConfig{})}
}

// call sends a request, with line in the form "METHOD target", and returns the status
// and the body of the answer.
func (h harness) call(line, body string) (int, string, error) {
	ctx, cancel := context.WithTimeout(h.Context(), 5*time.Second)
	defer cancel()
	method, target, _ := strings.Cut(line, " ")
	res, err := h.pool.Do(ctx, &http1.Request{Method: method, Target: target, Body: []byte(body)})
	if err != nil {
		return 0, "", err
	}
	return res.Status, string(res.Body), nil
}

func (h harness) expect(line, body string, status int, want string) {
	h.Helper()
	gotStatus, got, err := h.call(line, body)
	if err != nil {
		h.Fatalf("%s: %v", line, err)
	}
	if diff := cmp.Diff(want, got); diff != "" || gotStatus != status {
		h.Errorf("%s: status %d, want %d; %s", line, gotStatus, status, diff)
	}
}

func (h harness) stats() stats {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return h.server.stats
}

func (h harness) waitUntil(condition func() bool) {
	h.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.Fatal("condition not met in time")
		}
	}
}

// TestProtocol guards against answers that differ from docs/design.md, section 12.
func TestProtocol(t *testing.T) {
	h := startStore(t, Config{})
	h.expect("GET /v1/changes?prefix=a", "", 200, `{"revision":0,"entries":[]}`)
	h.expect("PUT /v1/kv?key=a/1&expect=0", "x", 200, `{"revision":1}`)
	h.expect("PUT /v1/kv?key=b&expect=0", "", 200, `{"revision":2}`)
	h.expect("PUT /v1/kv?key=a/1&expect=0", "y", 409, `{"error":"conflict","revision":1}`)
	h.expect("PUT /v1/kv?key=a/2&expect=7", "y", 409, `{"error":"conflict","revision":0}`)
	h.expect("PUT /v1/kv?key=a/1&expect=1", "y", 200, `{"revision":3}`)
	h.expect("GET /v1/changes?prefix=a", "", 200, `{"revision":3,"entries":[{"key":"a/1","value":"eQ==","revision":3}]}`)
	h.expect("GET /v1/changes?prefix=&after=3", "", 200, `{"revision":3,"entries":[]}`)
	h.expect("PUT /v1/kv?key=c&lease=9", "", 404, `{"error":"no lease \"9\""}`)
	big := strings.Repeat("x", maxValueBytes)
	h.expect("PUT /v1/kv?key=big", big, 200, `{"revision":4}`)
	h.expect("PUT /v1/kv?key=big&expect=4", big+"x", 413, `{"error":"value of 1048577 bytes, limit 1048576"}`)
}

// TestWatch guards against a watch that misses a change, ends early, or still waits
// after the store has gone down.
func TestWatch(t *testing.T) {
	h := startStore(t, Config{})
	h.expect("GET /v1/changes?prefix=a&wait-ms=20", "", 200, `{"revision":0,"entries":[]}`)
	watchResults := make(chan string, 1)
	watch := func() {
		_, body, err := h.call("GET /v1/changes?prefix=a&wait-ms=4000", "")
		if err != nil {
			body = err.Error()
		}
		watchResults <- body
	}
	go watch()
	h.waitUntil(func() bool { return h.stats().watchesWaiting == 1 })
	h.expect("PUT /v1/kv?key=other", "", 200, `{"revision":1}`)
	h.expect("PUT /v1/kv?key=a", "", 200, `{"revision":2}`)
	if diff := cmp.Diff(`{"revision":2,"entries":[{"key":"a","value":"","revision":2}]}`, <-watchResults); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(uint64(2), h.stats().reads.admitted); diff != "" {
		t.Errorf("reads counted, one for each watch: %s", diff)
	}
	go func() {
		_, _, err := h.call("GET /v1/changes?prefix=a&after=2&wait-ms=4000", "")
		var lost *http1.LostError
		if !errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("watch in an outage: %v, want a closed connection", err)
		}
		watchResults <- ""
	}()
	h.waitUntil(func() bool { return h.stats().watchesWaiting == 1 })
	h.expect("POST /faults?mode=down", "", 200, "{}")
	<-watchResults
}

// TestLeases guards against a lease that ends early or late, or that does not delete
// its keys when it ends.
func TestLeases(t *testing.T) {
	h := startStore(t, Config{})
	h.expect("POST /v1/leases?ttl-ms=60000", "", 200, `{"lease":"1","ttl-ms":60000}`)
	h.expect("PUT /v1/kv?key=kept&lease=1", "", 200, `{"revision":1}`)
	h.expect("PUT /v1/kv?key=kept&expect=1", "", 200, `{"revision":2}`)
	h.expect("PUT /v1/kv?key=k&lease=1", "", 200, `{"revision":3}`)
	h.expect("DELETE /v1/leases/1", "", 200, `{"revision":4}`)
	h.expect("POST /v1/leases/1/renew", "", 404, `{"error":"no lease \"1\""}`)
	h.expect("GET /v1/changes?after=3", "", 200, `{"revision":4,"entries":[{"key":"k","value":"","revision":4,"deleted":true}]}`)
	h.expect("POST /v1/leases?ttl-ms=50", "", 200, `{"lease":"2","ttl-ms":50}`)
	h.expect("PUT /v1/kv?key=k&lease=2", "", 200, `{"revision":5}`)
	h.expect("GET /v1/changes?after=5&wait-ms=4000", "", 200, `{"revision":6,"entries":[{"key":"k","value":"","revision":6,"deleted":true}]}`)

	now := time.Unix(0, 0)
	table := newTable()
	id := table.addLease(now, time.Second)
	table.put("k", 0, nil, id)
	got := []bool{
		table.expire(now.Add(999 * time.Millisecond)),
		table.renew(now.Add(999*time.Millisecond), id),
		table.expire(now.Add(1998 * time.Millisecond)),
		table.expire(now.Add(1999 * time.Millisecond)),
		table.renew(now.Add(1999*time.Millisecond), id),
	}
	if diff := cmp.Diff([]bool{false, true, false, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

// TestMetering guards against calls over the metered rate that are admitted, or that
// are not counted as throttled.
func TestMetering(t *testing.T) {
	now := time.Unix(0, 0)
	m := newMeter(2)
	var got []bool
	for _, after := range []time.Duration{0, 1, 2, 499, 501, 1001} {
		got = append(got, m.admit(now.Add(after*time.Millisecond)))
	}
	if diff := cmp.Diff([]bool{true, true, false, false, true, true}, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]uint64{4, 2, 3}, []uint64{m.admitted, m.throttled, m.peakPerSecond}); diff != "" {
		t.Error(diff)
	}

	h := startStore(t, Config{WritesPerSecond: 1, ReadsPerSecond: 1})
	throttled := func(line string) func() bool {
		return func() bool { status, _, err := h.call(line, ""); return err == nil && status == 429 }
	}
	h.waitUntil(throttled("POST /v1/leases?ttl-ms=60000"))
	h.waitUntil(throttled("GET /v1/changes"))
	st := h.stats()
	if st.writes.admitted == 0 || st.writes.throttled != 1 || st.reads.admitted == 0 || st.reads.throttled != 1 {
		t.Errorf("writes %+v, reads %+v", st.writes, st.reads)
	}
	st.leases = int(st.writes.admitted)
	h.expect("GET /stats", "", 200, string(st.encode()))
}

// TestFaults guards against faults that affect the wrong calls or do not end.
func TestFaults(t *testing.T) {
	h := startStore(t, Config{})
	h.expect("POST /faults?mode=odd", "", 400, `{"error":"mode \"odd\", want ok, down, slow or lose-answers"}`)
	h.expect("POST /faults?mode=lose-answers", "", 200, "{}")
	if status, _, err := h.call("PUT /v1/kv?key=a", "x"); err == nil {
		t.Errorf("status %d, want a lost answer", status)
	}
	h.expect("GET /v1/changes", "", 200, `{"revision":1,"entries":[{"key":"a","value":"eA==","revision":1}]}`)
	h.expect("POST /faults?mode=down&for-ms=500", "", 200, "{}")
	if status, _, err := h.call("PUT /v1/kv?key=b", ""); err == nil {
		t.Errorf("status %d, want a closed connection", status)
	}
	h.expect("GET /v1/instances", "", 200, "[]")
	h.waitUntil(func() bool { _, _, err := h.call("GET /v1/changes", ""); return err == nil })
	h.expect("PUT /v1/kv?key=b", "", 200, `{"revision":2}`)
	h.expect("POST /faults?mode=slow&delay-ms=100", "", 200, "{}")
	begin := time.Now()
	h.expect("PUT /v1/kv?key=c", "", 200, `{"revision":3}`)
	if took := time.Since(begin); took < 100*time.Millisecond {
		t.Errorf("slow write took %v", took)
	}
}

// TestInstanceListLags guards against an instance list that shows changes early, late
// or out of order.
func TestInstanceListLags(t *testing.T) {
	now := time.Unix(0, 0)
	l := newLaggedList(2 * time.Second)
	u := platform.Listed{Name: "u", Kind: platform.KindUpstream, State: platform.StateLive}
	l.addChange(instanceChange{at: now, listed: u})
	l.addChange(instanceChange{at: now.Add(time.Second), listed: platform.Listed{Name: "u"}, remove: true})
	var got []int
	for _, after := range []time.Duration{0, 1999, 2000, 2999, 3000} {
		got = append(got, len(l.visibleAt(now.Add(after*time.Millisecond))))
	}
	if diff := cmp.Diff([]int{0, 0, 1, 1, 0}, got); diff != "" {
		t.Error(diff)
	}
	h := startStore(t, Config{Lag: -1})
	entry := `{"name":"u","kind":"upstream","service":"","address":"","zone":"","state":"live","boot":""}`
	h.expect("PUT /v1/instances", entry, 200, "{}")
	h.expect("GET /v1/instances", "", 200, "["+entry+"]")
	h.expect("PUT /v1/instances", `{"name":"u","kind":"odd"}`, 400, `{"error":"u: kind \"odd\", want upstream or instance"}`)
	h.expect("DELETE /v1/instances?name=u", "", 200, "{}")
	h.expect("GET /v1/instances", "", 200, "[]")
}
