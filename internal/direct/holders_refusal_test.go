package direct

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// holderRouter returns an instance that knows one holder of keys.
func holderRouter(id fleet.InstanceID) (*Router, *balance.Entry) {
	r := New(Settings{Instance: id}, Platform{Protocol: plainProtocol{}}, NewMetrics(), hclog.NewNullLogger())
	now := time.Now()
	r.setUpstreams(now, now, []balance.Registration{{ID: "u", Service: "s", Boot: "1", Addr: "a", Slots: 4}})
	return r, r.upstreams.Get("u")
}

func keyExchange(now time.Time) *exchange {
	return &exchange{
		table:      &routes.Table{},
		receivedAt: now, deadline: now.Add(500 * time.Millisecond), route: &routes.Route{Target: 400 * time.Millisecond},
		service: routes.Service{ID: "s", Sharded: true}, info: RequestMetadata{HasRoutingKey: true, RoutingKey: 7},
	}
}

// Guards against a refusal that promises that a request has not run although an earlier
// attempt may have run it.
func TestRefusalAtFullHolderIsTrue(t *testing.T) {
	r, u := holderRouter("a")
	now := time.Now()
	r.holderLoads.note(now, u, fullHolderLoad)
	for name, tc := range map[string]struct {
		attempts func(x *exchange)
		want     int
	}{
		"not sent":          {func(*exchange) {}, http.StatusServiceUnavailable},
		"refused by it":     {func(x *exchange) { x.arrivals = 1; _ = x.sends.begin(1); x.sends.notRun(1) }, http.StatusServiceUnavailable},
		"lost by it":        {func(x *exchange) { x.arrivals = 1; _ = x.sends.begin(1) }, http.StatusBadGateway},
		"lost, then refuse": {func(x *exchange) { x.arrivals = 2; _ = x.sends.begin(1); _ = x.sends.begin(2); x.sends.notRun(2) }, http.StatusBadGateway},
	} {
		x := keyExchange(now)
		tc.attempts(x)
		out, refused := r.refuseForLoad(now, x, u)
		if !refused || out.status != tc.want || out.retryAfter <= 0 {
			t.Errorf("%s: refused %t with %d, retry after %v; want %d", name, refused, out.status, out.retryAfter, tc.want)
		}
	}
}

// Guards against loads of full holders and hot keys that do not reach the other instances, or
// that outlast the leader.
func TestHolderLoadsReachOtherInstances(t *testing.T) {
	now := time.Now()
	leader, _ := holderRouter("leader")
	l := &leadership{term: 2, startedAt: now, members: make(map[fleet.InstanceID]member), coordinator: keyspace.NewCoordinator(now, 1, keyspace.Timing{}, keyspace.Record{})}
	seer, u := holderRouter("seer")
	seer.mu.Lock()
	seer.noteHolderLoad(now, keyExchange(now), attempt{upstream: u, verdict: balance.Full, metadata: ResponseMetadata{Load: fullHolderLoad}})
	urgent := seer.holderLoads.takeUrgent()
	seer.mu.Unlock()
	if !urgent {
		t.Error("a full holder is not reported at once")
	}
	rep, err := decodeReport(seer.collectReport(now).encode())
	if err != nil {
		t.Fatal(err)
	}
	leader.applyReport(now, l, rep)
	leader.setHotKeys(now, map[fleet.ServiceID][]keyspace.KeyShare{"s": {{Key: 9, Share: 0}}})

	other, holder := holderRouter("other")
	request := other.collectReport(now)
	rp, err := decodeReply(leader.reply(l, request).encode())
	if err != nil {
		t.Fatal(err)
	}
	other.applyReply(now, now, request, rp)
	holder = other.upstreams.Get(holder.ID)
	if out, refused := other.refuseForLoad(now, keyExchange(now), holder); !refused || out.reason != longQueue.reason() {
		t.Errorf("refused %t for %q at a holder that is full", refused, out.reason)
	}
	hot := keyExchange(now)
	hot.info.RoutingKey = 9
	if out, refused := other.refuseHotKey(now, hot); !refused || out.reason != keyTooHot.reason() {
		t.Errorf("refused %t for %q of a hot key", refused, out.reason)
	}
	later := now.Add(hotKeysTTL + time.Second)
	for _, key := range []keyspace.Key{7, 9} {
		x := keyExchange(later)
		x.info.RoutingKey = key
		if out, refused := other.refuseForLoad(later, x, holder); refused {
			t.Errorf("key %d refused for %q 3 s after the last reply", key, out.reason)
		}
		if _, refused := other.refuseHotKey(later, x); refused {
			t.Errorf("key %d counts as hot 3 s after the last reply", key)
		}
	}
}
