package direct

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
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
		}
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
