package direct

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against a limit in flight that does not reach the instances whose answers show it,
// that is sent with each reply, or that a new leader does not send.
func TestInFlightLimitsReachInstances(t *testing.T) {
	routers, _ := limitedFleet(t)
	leader, follower, now := routers[0], routers[1], time.Now()
	table := routes.NewTable(1, []routes.Service{{ID: "s"}}, nil, nil, nil)
	for _, r := range routers {
		r.operatorState.Store(&OperatorState{Table: table})
	}
	l := &leadership{term: 3}
	for i := range 120 {
		running := 1 + i%5
		e := follower.upstreams.Get("u")
		follower.upstreams.Started(now, e)
		took := time.Duration(running) * 100 * time.Millisecond
		follower.upstreams.Ended(now, e, balance.Answered, took, &balance.Load{Running: running, Slots: 6, Slowdown: 1})
	}
	message, err := decodeReport(follower.collectReport(now).encode())
	if err != nil {
		t.Fatal(err)
	}
	leader.mu.Lock()
	leader.learnCapacities(now, l, message)
	leader.mu.Unlock()
	if got := leader.upstreams.Capacity(now, leader.upstreams.Get("u")); got.InFlight > 3 || got.Rate > 12 {
		t.Errorf("the leader has learned %.1f, want about 1.5 in flight and 10 requests/s", got)
	}
	send := func(rep report) (reply, error) {
		rp, err := decodeReply(leader.reply(l, rep).encode())
		if err == nil && len(rp.InFlight.Limits) > 1 {
			err = errors.Errorf("%d limits of one upstream", len(rp.InFlight.Limits))
		}
		return rp, err
	}
	first, err := send(message)
	if err != nil || len(first.InFlight.Limits) != 1 {
		t.Fatalf("the reply has the limits %v (%v), want one", first.InFlight, err)
	}
	routers[2].upstreams.SetInFlightLimits(now, first.InFlight.Limits)
	if got := routers[2].upstreams.Capacity(now, routers[2].upstreams.Get("u")).InFlight; got > 3 {
		t.Errorf("limit %v at another instance", got)
	}
	message.ListTerm, message.InFlightSeq = l.term, first.InFlight.Seq
	if again, err := send(message); err != nil || len(again.InFlight.Limits) > 0 {
		t.Errorf("an unchanged limit is sent again: %v (%v)", again.InFlight, err)
	}
	message.ListTerm = 2
	if other, err := send(message); err != nil || len(other.InFlight.Limits) != 1 {
		t.Errorf("a follower of an earlier leader is sent %v (%v)", other.InFlight, err)
	}
}

// Guards against curves and limits of a malformed message that are applied.
func TestMalformedCapacitiesAreRefused(t *testing.T) {
	for _, s := range []string{`"curves":{"u":[1,2,3]}`, `"curves":{"u":[1,2,3,4,5,-6]}`, `"curves":{"u":[1e300,2,3,4,5,6]}`} {
		if _, err := decodeReport([]byte(`{"instance":"i",` + s + `}`)); err == nil {
			t.Errorf("the report with %s was accepted", s)
		}
	}
	for _, s := range []string{`[["u","b"]]`, `[["u","b",0.5]]`, `[["u","b",-1]]`} {
		if _, err := decodeReply([]byte(`{"in-flight":` + s + `}`)); err == nil {
			t.Errorf("the reply with the limits %s was accepted", s)
		}
	}
}

// Guards against large bodies that are taken for small ones, before or after responses have
// shown their size, and against sizes that are mixed up between services of a route.
func TestExpectedSizes(t *testing.T) {
	exchangeOf := func(k routes.Kind, service fleet.ServiceID, body int) *exchange {
		x := &exchange{route: &routes.Route{Name: "r", Kind: k}, service: routes.Service{ID: service}}
		x.body = [][]byte{make([]byte, body)}
		return x
	}
	sizes := make(responseSizes)
	got := []int{
		sizes.expected(exchangeOf(routes.Safe{}, "s", 10)), sizes.expected(exchangeOf(routes.Upload{}, "s", 10)),
		sizes.expected(exchangeOf(routes.Download{}, "s", 10)), sizes.expected(exchangeOf(routes.Unsafe{}, "s", 1<<20)),
	}
	x := exchangeOf(routes.Download{}, "s", 0)
	sizes.note(x, &http1.Response{Body: make([]byte, 1000)})
	sizes.note(x, &http1.Response{Stream: &http1.BodyStream{Length: 101000}})
	got = append(got, sizes.expected(x), sizes.expected(exchangeOf(routes.Safe{}, "other", 0)))
	if diff := cmp.Diff([]int{10, balance.LargeBody, balance.LargeBody, 1 << 20, 11000, 0}, got); diff != "" {
		t.Error(diff)
	}
}
