package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var limitedRun = balance.Run{ID: "u", Boot: "1", Addr: "1.2.3.4:5"}

// limitedFleet returns four instances of one fleet, with one upstream.
func limitedFleet(t *testing.T) (routers []*Router, peers []fleet.Peer) {
	t.Helper()
	now := time.Now()
	for i := range 4 {
		r, p := newRouter(t, fleet.InstanceID(fmt.Sprint("i", i)))
		r.setUpstreams(now, now, []balance.Registration{{ID: limitedRun.ID, Service: "s", Boot: limitedRun.Boot, Addr: limitedRun.Addr, Slots: 6}})
		routers, peers = append(routers, r), append(peers, p)
	}
	for _, r := range routers {
		r.setInstances(peers)
	}
	return routers, peers
}

// admittedBy sends n claims at now through the routers in turn, and returns how many were
// admitted at once.
func admittedBy(t *testing.T, now time.Time, routers []*Router, n int) (admitted int) {
	t.Helper()
	x := &exchange{route: &routes.Route{Target: time.Second}}
	for i := range n {
		r := routers[i%len(routers)]
		if r.admitSend(t.Context(), now, x, r.upstreams.Get(limitedRun.ID), 0).Admitted {
			admitted++
		}
	}
	return admitted
}

// Guards against instances that each use the limit of an upstream by themselves, because
// its home is another one, or does not answer.
func TestNamedLimitIsCountedOnce(t *testing.T) {
	routers, peers := limitedFleet(t)
	for _, r := range routers {
		now := time.Now()
		r.noteLimit(now, now, r.upstreams.Get(limitedRun.ID), balance.NamedLimit{Named: true, Rate: 10}, true, "r1", "answer")
	}
	if got := admittedBy(t, time.Now(), routers, 100); got < 3 || got > 8 { // 0.25 s of the limit, and what is added meanwhile
		t.Errorf("%d of 100 claims admitted by a new home, want about 3", got)
	}
	for _, r := range routers {
		for _, p := range peers {
			r.homeFailedAt[p.ID] = time.Now().Add(time.Hour)
		}
	}
	if got := admittedBy(t, time.Now(), routers, 100); got > 0 {
		t.Errorf("%d of 100 claims admitted at once without a home, want none", got)
	}
	later := time.Now().Add(1100 * time.Millisecond) // half of the limit is used meanwhile, by all instances together
	if got := admittedBy(t, later, routers, 100); got < 1 || got > 8 {
		t.Errorf("%d of 100 claims admitted after 1.1 s without a home, want at most half of the limit", got)
	}
}

// Guards against an instance that has no limit, or an older one, after another instance
// has sent it a claim, and against one that keeps a limit whose end its home has recorded.
func TestClaimsSpreadLimits(t *testing.T) {
	routers, peers := limitedFleet(t)
	home := rendezvous(runName(limitedRun), peers, 1)[0].ID
	var holder, other *Router
	for _, r := range routers {
		if r.cfg.Instance == home {
			holder = r
		} else {
			other = r
		}
	}
	now := time.Now()
	other.noteLimit(now, now, other.upstreams.Get("u"), balance.NamedLimit{Named: true, Rate: 10}, true, "r1", "answer")
	admittedBy(t, time.Now(), []*Router{other}, 1)
	if diff := cmp.Diff(fleet.PerSecond(10), holder.upstreams.Get("u").LimitRate()); diff != "" {
		t.Errorf("limit known to the home: %s", diff)
	}
	later := time.Now().Add(10 * time.Millisecond)
	holder.noteLimit(later, later, holder.upstreams.Get("u"), balance.NamedLimit{}, true, "r2", "answer")
	admittedBy(t, time.Now(), []*Router{other}, 1)
	if diff := cmp.Diff(fleet.PerSecond(0), other.upstreams.Get("u").LimitRate()); diff != "" {
		t.Errorf("limit of the other instance after its end: %s", diff)
	}
}

// Guards against limits that the leader does not send to other instances or to new
// followers, and against reports of insignificant changes.
func TestLimitsInReplies(t *testing.T) {
	routers, _ := limitedFleet(t)
	leader, follower := routers[0], routers[1]
	now := time.Now()
	name := func(rate fleet.PerSecond) {
		now = now.Add(time.Millisecond)
		leader.noteLimit(now, now, leader.upstreams.Get("u"), balance.NamedLimit{Named: true, Rate: rate}, true, "r1", "answer")
	}
	for _, c := range []struct {
		rate fleet.PerSecond
		seq  uint64 // the version that the follower has
		sent bool
	}{{10, 0, true}, {10.2, 1, false}, {12, 1, true}, {12, 0, true}, {12, 2, false}} {
		name(c.rate)
		limits, seq := leader.limitsSince(now, c.seq)
		if sent := len(limits) > 0; sent != c.sent {
			t.Errorf("limit %v, version %d of %d: %v", c.rate, c.seq, seq, limits)
		}
		follower.mergeLimits(now, limits, "leader")
	}
	if diff := cmp.Diff(fleet.PerSecond(12), follower.upstreams.Get("u").LimitRate()); diff != "" {
		t.Error(diff)
	}
	if own := follower.ownLimits(now, make(map[balance.Run]uint64)); len(own) > 0 {
		t.Errorf("the follower reports limits that it has from the leader: %v", own)
	}
	reported := make(map[balance.Run]uint64)
	if first, again := leader.ownLimits(now, reported), leader.ownLimits(now, reported); len(first) != 1 || len(again) != 0 {
		t.Errorf("own limits %v, then %v, want one and none", first, again)
	}
}

// Guards against messages about limits that change in encoding and decoding, and against
// claims with values that no instance sends.
func TestClaimCodec(t *testing.T) {
	limit := balance.RunLimit{Run: limitedRun, Rate: 4.5, Age: 30 * time.Millisecond}
	c := upstreamClaim{limit: limit, maxWait: 200 * time.Millisecond}
	got, err := decodeUpstreamClaim(c.encode())
	if diff := cmp.Diff(c, got, cmp.AllowUnexported(upstreamClaim{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	d := upstreamDecision{decision: quota.Decision{Admitted: true, Wait: 1500 * time.Microsecond}, limit: limit}
	gotDecision, err := decodeUpstreamDecision(d.encode())
	d.limit.Run = balance.Run{}
	if diff := cmp.Diff(d, gotDecision, cmp.AllowUnexported(upstreamDecision{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for _, text := range []string{``, `{"limit":{"per-second":1}}`, `{"limit":{"id":"u","per-second":-1}}`, `{"limit":{"id":"u","per-second":1e99}}`} {
		if _, err := decodeUpstreamClaim([]byte(text)); err == nil {
			t.Errorf("claim %q: no error", text)
		}
	}
}

// Guards against a reload of the settings that ends the limits of upstreams or gives them
// the tolerances of client accounts.
func TestNamedLimitOutlastsReload(t *testing.T) {
	routers, _ := limitedFleet(t)
	r, now := routers[0], time.Now()
	r.noteLimit(now, now, r.upstreams.Get("u"), balance.NamedLimit{Named: true, Rate: 10}, true, "r1", "answer")
	changed := r.cfg
	changed.Quota.Slack = 500
	r.platform.ReadSettings = func() (Settings, error) { return changed, nil }
	r.reload(true)
	if diff := cmp.Diff(fleet.PerSecond(10), r.upstreams.Get("u").LimitRate()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(upstreamTolerance, r.upstreamLimits.tolerance); diff != "" {
		t.Error(diff)
	}
	if got := admittedBy(t, time.Now(), []*Router{r}, 100); got > 8 {
		t.Errorf("%d of 100 claims admitted at once after a reload, want about 3", got)
	}
}
