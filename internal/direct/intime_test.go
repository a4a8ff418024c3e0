package direct

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// priorityTable has a service with two routes, of priorities 0 and 2.
func priorityTable(sharded bool) *routes.Table {
	route := func(name string, p routes.Priority) routes.Route {
		return routes.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", TrafficShares: []routes.TrafficShare{{Service: "s", Weight: 1}},
			Kind: routes.Unsafe{}, MaxAttempts: 1, Timeout: 2500 * time.Millisecond, Target: time.Second, Priority: p,
		}
	}
	return routes.NewTable(1, []routes.Service{{ID: "s", Sharded: sharded}}, nil, nil, []routes.Route{route("urgent", 0), route("other", 2)})
}

func priorityRouter(tb testing.TB, id fleet.InstanceID, sharded bool, upstreams int) *Router {
	tb.Helper()
	tr := http1.NewTransport(http1.TransportConfig{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBody: 1 << 10, MaxIdlePerAddr: 1})
	r := New(Settings{AdmitByPriority: true, Instance: id}, Platform{Protocol: plainProtocol{}, UpstreamTransport: tr}, NewMetrics(), hclog.NewNullLogger())
	r.operatorState.Store(&OperatorState{Table: priorityTable(sharded)})
	var list []balance.Registration
	for i := range upstreams {
		list = append(list, balance.Registration{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: "s", Boot: "1", Addr: "127.0.0.1:1", Slots: 2})
	}
	r.setUpstreams(time.Now(), time.Now(), list)
	r.setHolderMap(&keyspace.Map{Version: keyspace.MapVersion{Term: 1, Seq: 1}, Services: map[fleet.ServiceID][]keyspace.HeldSpan{
		"s": {{Span: keyspace.Span{From: 0, To: 9}, Holder: "u0"}, {Span: keyspace.Span{From: 10, To: 65535}, Holder: "u1"}},
	}})
	return r
}

func (r *Router) testExchange(now time.Time, name string, key keyspace.Key) *exchange {
	table := r.operatorState.Load().Table
	x := &exchange{table: table, route: table.Match("h", "/"+name+"/"), service: table.Services["s"], receivedAt: now, deadline: now.Add(2500 * time.Millisecond)}
	x.info = RequestMetadata{RoutingKey: key, HasRoutingKey: true, Timeout: 5 * time.Second}
	return x
}

// Guards against a request that runs at most once and starts at an upstream that cannot
// answer it in time, and against one that is sent although no upstream can.
func TestUnsafeRequestsAreAnsweredInTime(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	r := priorityRouter(t, "i", false, 0)
	now := time.Now()
	var list []balance.Registration
	for _, id := range []fleet.UpstreamID{"slow", "quick"} {
		list = append(list, balance.Registration{ID: id, Service: "s", Boot: "1", Addr: ln.Addr().String(), Slots: 2})
	}
	r.setUpstreams(now, now, list)
	answer := func(id fleet.UpstreamID, took time.Duration, waiting int) {
		e := r.upstreams.Get(id)
		r.upstreams.Started(now, e)
		r.upstreams.Ended(now, e, balance.Answered, took, &balance.Load{Running: 2, Waiting: waiting, Slots: 2, Slowdown: 1})
	}
	answer("quick", 300*time.Millisecond, 0)
	answer("slow", 15*time.Second, 8)
	for range 50 {
		x := r.testExchange(now, "urgent", 0)
		r.mu.Lock()
		e, _ := r.choose(now, r.query(x, nil), x)
		r.mu.Unlock()
		if e.ID != "quick" {
			t.Fatalf("%s is chosen", e.ID)
		}
	}
	for range 20 {
		answer("quick", 15*time.Second, 8)
	}
	x := r.testExchange(now, "urgent", 0)
	out := r.forwardToAny(t.Context(), x)
	if diff := cmp.Diff([]any{http.StatusServiceUnavailable, reasonNoTime, 0}, []any{out.status, out.reason, x.arrivals}); diff != "" {
		t.Errorf("status, reason and attempts (-want +got):\n%s", diff)
	}
	if out.retryAfter < time.Second {
		t.Errorf("the caller may return after %v, while the queues take longer", out.retryAfter)
	}
	x.receivedAt, x.info.Timeout = now, 3*time.Second
	if out := r.refuseNoTime(now, x); out.retryAfter > time.Second {
		t.Errorf("the caller may return after %v, while it waits for a third of 3s", out.retryAfter)
	}
}
