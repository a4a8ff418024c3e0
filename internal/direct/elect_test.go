package direct

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quorum"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against an underpowered instance being elected in a large fleet although
// stronger ones are available, and against delayed elections in a small fleet.
func TestCandidacyDelay(t *testing.T) {
	const startSpread = 300 * time.Millisecond
	for _, n := range []int{0, 60, 70} {
		strong, weak := candidacyDelay(0.8, n), candidacyDelay(0.16, n)
		if weak-strong < electionJitter+startSpread {
			t.Errorf("%d instances: one with little CPU is a candidate %v after one with enough, which may start up to %v later", n, weak-strong, startSpread)
		}
	}
	for _, cores := range []float64{0.16, 0.32, 1} {
		if diff := cmp.Diff(time.Duration(0), candidacyDelay(cores, 12)); diff != "" {
			t.Errorf("%v cores in a fleet of 12: delay: %s", cores, diff)
		}
	}
}

// Guards against an instance that keeps contacting a leader that does not answer it,
// and against one that never contacts this leader again although its lease is still
// renewed.
func TestSilentLeaderIsContactedAgainAfterItsLeaseExpired(t *testing.T) {
	now := time.Now()
	for age, want := range map[time.Duration]bool{
		time.Second: true, 5 * time.Second: false,
	} {
		r := &Router{instances: make([]fleet.Peer, 70), leader: leaderInfo{id: "i1", term: 4, heardAt: now.Add(-age)}}
		if diff := cmp.Diff(want, r.isSilentLeader(leaderInfo{id: "i1", term: 4})); diff != "" {
			t.Errorf("silent for %v: %s", age, diff)
		}
		if r.isSilentLeader(leaderInfo{id: "i2", term: 5}) {
			t.Errorf("silent for %v: the next leader is taken for the silent one", age)
		}
	}
}

// Guards against a leader that goes on after it was suspended because the reports from
// before say that the store is down for all: its successor may have granted keys since.
func TestSuspendedLeaderEnds(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		gap, leaseLeft time.Duration
		want           bool
	}{
		"store down for all":       {gap: leaderTick, leaseLeft: -time.Second, want: true},
		"suspended":                {gap: maxStepGap + time.Millisecond, leaseLeft: -time.Second, want: false},
		"suspended within a lease": {gap: maxStepGap + time.Millisecond, leaseLeft: time.Second, want: true},
	} {
		r, _ := newRouter(t, "a")
		r.storeAnsweredAt = now
		l := &leadership{
			term: 1, validUntil: bootClock() + c.leaseLeft, steppedAt: bootClock() - c.gap, renewing: true,
			members:     map[fleet.InstanceID]member{"a": {heardAt: now}, "b": {heardAt: now, storeAge: time.Hour}, "c": {heardAt: now, storeAge: time.Hour}},
			planDue:     now.Add(time.Minute),
			publishDue:  now.Add(time.Minute),
			coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{}),
			support:     quorum.NewSupport("a", quorum.Electorate{Voters: []fleet.InstanceID{"a", "b", "c"}}),
		}
		l.support.Acknowledged("b", bootClock())
		if got := r.leadStep(t.Context(), l); got != c.want {
			t.Errorf("%s: leads on %t, want %t", name, got, c.want)
		}
	}
}

// Guards against grants that end useful work, outlast what the platform allows, or end
// before another leader can renew them.
func TestGrantTTL(t *testing.T) {
	const longest = 10 * time.Second
	for target, want := range map[time.Duration]time.Duration{
		0:                       minGrantTTL,
		600 * time.Millisecond:  minGrantTTL,
		4 * time.Second:         4500 * time.Millisecond,
		9800 * time.Millisecond: longest,
		time.Minute:             longest,
	} {
		if diff := cmp.Diff(want, grantTTL(target, longest)); diff != "" {
			t.Errorf("target %v: %s", target, diff)
		}
	}
	// After the last renewal, the lease of a lost leader ends, another one becomes a
	// candidate, is elected, reads the record and renews.
	for _, n := range []int{12, 86, 195, 300} {
		election := grantRenewInterval + leaderLeaseTTL + candidacyDelay(minLeaderCores, n) + electionJitter + 4*leaderTick
		if election > minGrantTTL {
			t.Errorf("%d instances: an election takes %v, and a grant is valid for %v", n, election, minGrantTTL)
		}
	}
}

// holderClientFunc is a HolderClient that executes each call whose check allows it.
type holderClientFunc func(c keyspace.Call)

func (f holderClientFunc) Call(_ context.Context, _ string, c keyspace.Call, check func() error) (HolderResponse, error) {
	if err := check(); err != nil {
		return HolderResponse{Result: keyspace.NotSent}, &http1.NotSentError{Err: err}
	}
	f(c)
	return HolderResponse{Result: keyspace.Done}, nil
}

// Guards against a grant or release that is written after its leader was suspended for so long
// that the next leader may have moved the keys.
func TestLateCallIsNotWritten(t *testing.T) {
	for age, want := range map[time.Duration]keyspace.Result{0: keyspace.Done, maxCallDelay / 2: keyspace.Done, maxCallDelay + time.Millisecond: keyspace.Late, time.Hour: keyspace.Late} {
		r, _ := newRouter(t, "a")
		written := 0
		r.platform.Holders = holderClientFunc(func(keyspace.Call) { written++ })
		r.upstreams.Replace(time.Now(), []balance.Registration{{ID: "u", Boot: "1", Addr: "127.0.0.1:1", Service: "s", Slots: 1}})
		l := &leadership{callResults: make(chan callResult, 1), stop: make(chan struct{})}
		r.sendCall(t.Context(), l, keyspace.Call{Service: "s", Upstream: "u", Boot: "1"}, bootClock()-age)
		res := <-l.callResults
		if diff := cmp.Diff([]any{want, want == keyspace.Done}, []any{res.result, written == 1}); diff != "" {
			t.Errorf("decided on %v ago: (result, written) %s", age, diff)
		}
	}
}

// Guards against calls of a leader whose lease has ended during the step that decided on them.
// Without a valid lease before it, the store is down for all instances, and the leader goes on.
func TestLeaseEndsDuringStep(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		leaseLeft         time.Duration
		leaseWasValid, ok bool
	}{
		"valid":              {time.Second, true, true},
		"ended":              {-time.Millisecond, true, false},
		"store down for all": {-time.Second, false, true},
	} {
		r, _ := newRouter(t, "a")
		co := keyspace.NewCoordinator(now, 1, keyspace.Timing{Hold: time.Second, Renew: time.Second}, keyspace.Record{
			Era: fleet.Revision(1).Era(), Services: map[fleet.ServiceID][]keyspace.RecordShard{"s": {{Span: keyspace.Span{From: 0, To: keyspace.Keys - 1}, Holder: "u", Boot: "1", Fence: 1}}},
		})
		l := &leadership{coordinator: co, callResults: make(chan callResult, 1), stop: make(chan struct{})}
		l.validUntil = time.Hour + c.leaseLeft
		ok := r.sendCalls(t.Context(), now, time.Hour, l, c.leaseWasValid)
		pending := len(co.Calls(now)) == 0 // calls that were sent are not due again
		if diff := cmp.Diff([]bool{c.ok, c.ok}, []bool{ok, pending}); diff != "" {
			t.Errorf("%s: (leads on, call sent) %s", name, diff)
		}
	}
}
