package direct

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a new leader that takes the requests since the former one was lost for those
// of one interval between reports: keys counted as too hot, and moved, after each change of
// the leader.
func TestFirstReportToLeaderIsNoLoad(t *testing.T) {
	now := time.Now()
	r, _ := holderRouter("leader")
	l := &leadership{term: 2, startedAt: now, members: make(map[fleet.InstanceID]member), coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{})}
	l.coordinator.SetUpstreams(now, "s", []keyspace.Upstream{{ID: "u", Boot: "1", Capacity: 100, Usable: true}})
	counter := l.coordinator.LoadCounter("s")
	rep := report{Instance: "a", Keys: map[fleet.ServiceID][]keyspace.Key{"s": slices.Repeat([]keyspace.Key{7}, 300)}}
	var counted []bool
	for range 2 {
		r.applyReport(now, l, rep)
		l.coordinator.Plan(now)
		counted = append(counted, counter.Rate(keyspace.Span{From: 7, To: 7}) > 1)
	}
	if diff := cmp.Diff([]bool{false, true}, counted); diff != "" {
		t.Error(diff)
	}
}

// Guards against a retry delay after which the caller does not return, because it is more than
// a third of the time that it has left.
func TestRetryDelayIsWithinTimeOfCaller(t *testing.T) {
	r, u := holderRouter("a")
	now := time.Now()
	r.holderLoads.note(now, u, fullHolderLoad)
	for _, stated := range []time.Duration{time.Second, 4 * time.Second} {
		x := keyExchange(now.Add(-100 * time.Millisecond))
		x.info.Timeout = stated
		out, refused := r.refuseForLoad(now, x, u)
		if left := stated - 100*time.Millisecond; !refused || out.retryAfter > left/3 || r.holderRetryDelay(now, x, u) > left/3 {
			t.Errorf("stated %v: refused %t, retry after %v", stated, refused, out.retryAfter)
		}
	}
}

// Guards against a refusal that promises that a request has not run after an attempt that may
// have run it, if the holder of its key was lost before the repetition.
func TestRefusalAfterLostAttemptIsTrue(t *testing.T) {
	r, _ := holderRouter("a")
	for mayHaveRun, want := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusBadGateway} {
		x := keyExchange(time.Now().Add(-time.Second))
		if mayHaveRun {
			_ = x.sends.begin(1)
		}
		if out := r.forwardToHolder(t.Context(), x); out.status != want {
			t.Errorf("may have run %t: refused with %d for %q, want %d", mayHaveRun, out.status, out.reason, want)
		}
	}
}
