package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against requests that run at most once and start at an upstream of which this
// instance knows that it is slow, stalled or failing, while another one is not.
func TestChooseWithin(t *testing.T) {
	now := start
	table := New("i", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	table.Replace(now, []Registration{
		{ID: "good", Service: "s", Slots: 2},
		{ID: "queue", Service: "s", Slots: 2},
		{ID: "stalled", Service: "s", Slots: 2},
		{ID: "fails", Service: "s", Slots: 2},
		{ID: "unknown", Service: "s", Slots: 2},
	})
	answer := func(id fleet.UpstreamID, v Verdict, waiting int) {
		e := table.Get(id)
		table.Started(now, e)
		table.Ended(now, e, v, 300*time.Millisecond, &Load{Running: 2, Waiting: waiting, Slots: 2, Slowdown: 1})
	}
	answer("good", Answered, 0)
	table.Get("good").othersInFlight = 0
	answer("queue", Answered, 8)
	answer("fails", Failed, 0)
	answer("stalled", Answered, 0)
	table.Started(now, table.Get("stalled"))
	now = now.Add(1300 * time.Millisecond)
	choose := func(left time.Duration, trusted bool) (list []fleet.UpstreamID) {
		q := Query{Service: "s", Target: time.Second, Exclude: make(map[fleet.UpstreamID]bool)}
		for e := table.ChooseWithin(now, q, left, trusted); e != nil; e = table.ChooseWithin(now, q, left, trusted) {
			list = append(list, e.ID)
			q.Exclude[e.ID] = true
		}
		slices.Sort(list)
		return list
	}
	got := map[string][]fleet.UpstreamID{"trusted": choose(time.Second, true), "in time": choose(time.Second, false), "too late": choose(10*time.Millisecond, false)}
	if diff := cmp.Diff(map[string][]fleet.UpstreamID{"trusted": {"good"}, "in time": {"fails", "good", "queue", "unknown"}, "too late": nil}, got); diff != "" {
		t.Errorf("chosen (-want +got):\n%s", diff)
	}
	x, _ := table.Earliest(now, "s", nil)
	if good := table.Expect(now, table.Get("good")); x.Response() > good.Response() {
		t.Errorf("the earliest response is expected after %v, that of one upstream after %v", x.Response(), good.Response())
	}
}

// BenchmarkChooseWithin measures the choice of requests that run at most once.
func BenchmarkChooseWithin(b *testing.B) {
	table := New("i", rand.New(rand.NewPCG(1, 2)), func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	var list []Registration
	for i := range 231 {
		list = append(list, Registration{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: "s", Slots: 4})
	}
	now := start
	table.Replace(now, list)
	for i, e := range table.Service("s") { // an instance hears from a few upstreams each second
		table.Started(now, e)
		table.Ended(now.Add(time.Duration(i)*100*time.Millisecond), e, Answered, 300*time.Millisecond, &Load{Running: 3, Waiting: i % 2, Slots: 4, Slowdown: 1})
	}
	now = now.Add(24 * time.Second)
	q := Query{Service: "s", Target: time.Second, Exclude: make(map[fleet.UpstreamID]bool)}
	b.Run("trusted", func(b *testing.B) {
		for b.Loop() {
			table.ChooseWithin(now, q, time.Second, true)
		}
	})
	b.Run("within", func(b *testing.B) {
		for b.Loop() {
			table.ChooseWithin(now, q, time.Second, false)
		}
	})
}

// Guards against retries that are allowed by requests which were refused and never sent.
func TestWithdrawnRequestsAllowNoRetries(t *testing.T) {
	sent, refused := NewRetryBudget(0.2, 0, 10*time.Second), NewRetryBudget(0.2, 0, 10*time.Second)
	for range 20 {
		sent.Request(start, 10)
		refused.Request(start, 10)
		refused.Withdraw()
	}
	if diff := cmp.Diff([]bool{true, false}, []bool{sent.Take(start, 10), refused.Take(start, 10)}); diff != "" {
		t.Errorf("retries after requests that were sent, and after refused ones (-want +got):\n%s", diff)
	}
}
