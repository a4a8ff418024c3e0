package http1

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against limits of progress that a slow but sound sender meets, on a link that is cut
// for some seconds or brings little, and against senders that stop and are waited for.
func TestLateRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		phase phase
		bytes func(second int) int // received in each second
		want  CloseCause
		by    int // second by which the request is late
	}{
		"head in time":         {phaseHead, func(int) int { return 10 }, "", 2},
		"head byte by byte":    {phaseHead, func(int) int { return 1 }, ClosedSlowHead, 3},
		"body at 2 KiB/s":      {phaseBody, func(int) int { return 2 << 10 }, "", 200},
		"body with cuts":       {phaseBody, func(s int) int { return s % 10 / 6 * 20 << 10 }, "", 200},
		"body byte by byte":    {phaseBody, func(int) int { return 10 }, ClosedSlowBody, 16},
		"body stops at 60 MiB": {phaseBody, func(s int) int { return max(0, 60-s) / 59 * 60 << 20 }, ClosedSlowBody, 31},
		"no request":           {phaseNone, func(int) int { return 0 }, "", 200},
	} {
		t.Run(name, func(t *testing.T) {
			var p progress
			p.begin(start, tc.phase)
			got := CloseCause("")
			for s := 1; s <= tc.by && got == ""; s++ {
				now := start.Add(time.Duration(s) * time.Second)
				p.add(now, tc.bytes(s))
				got = p.late(now, 3*time.Second, 1<<10)
			}
			if got != tc.want {
				t.Errorf("cause %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against evictions of ordinary callers while slower ones, or the crowd of one address
// or account, hold places.
func TestSlowestAreEvictedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Server{conns: make(map[*serverConn]struct{})}
	names := make(map[*serverConn]string)
	add := func(name, addr, owner string, ph phase, stalled time.Duration) *serverConn {
		c := &serverConn{server: s, addr: addr, owner: owner, idleSince: now.Add(-stalled)}
		c.pipeline.newest = &responseSlot{}
		c.progress.begin(now.Add(-stalled), ph)
		s.conns[c], names[c] = struct{}{}, name
		return c
	}
	add("idle for long", "a", "", phaseNone, time.Minute)
	add("slow", "b", "", phaseBody, 5*time.Second)
	add("just started", "c", "", phaseBody, minStallTime/2)
	add("slower", "d", "", phaseBody, 6*time.Second)
	for i := range 3 {
		add("of a crowd", "e", "", phaseHead, 4*time.Second)
		add("of an account", "i"+strconv.Itoa(i), "acme", phaseBody, 3*time.Second)
	}
	add("running", "f", "", phaseNone, time.Minute).inFlight = map[*exchange]struct{}{nil: {}}
	add("refused", "g", "", phaseNone, 0).lingerSince = now
	add("unread", "h", "", phaseNone, 0).writingSince.Store(now.Add(-7 * time.Second).UnixNano())
	var got []string
	for _, h := range s.slowest(now, 100, func(holder) bool { return true }) {
		got = append(got, names[h.conn])
	}
	want := []string{"refused", "of a crowd", "of a crowd", "of a crowd", "of an account", "of an account", "of an account", "unread", "slower", "slow", "idle for long"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order of eviction (-want +got):\n%s", diff)
	}
}

// Guards against one account that takes all places of requests in progress, and against
// bounds that refuse it while there is room.
func TestShareOfRequestsInProgress(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Server{cfg: ServerConfig{MaxRequests: 16, Handler: http.NotFoundHandler()}, conns: make(map[*serverConn]struct{})}
	s.requests.byOwner = make(map[string]int)
	run := func(addr, owner string) bool {
		c := &serverConn{server: s, addr: addr, owner: owner}
		c.pipeline.conn = c
		if s.full(now, c) {
			return false
		}
		s.countRequest(&responseSlot{pipeline: &c.pipeline})
		return true
	}
	admitted := 0
	for i := range 16 {
		if run(string(rune('a'+i)), "greedy") {
			admitted++
		}
	}
	if diff := cmp.Diff([]any{12, true}, []any{admitted, run("z", "other")}); diff != "" {
		t.Errorf("requests of the greedy account, and whether another runs (-want +got):\n%s", diff)
	}
}
