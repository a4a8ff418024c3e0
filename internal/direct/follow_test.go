package direct

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
)

// rejectingStore rejects and counts all calls.
type rejectingStore struct {
	Store
	calls atomic.Int32
}

func (s *rejectingStore) Upstreams(context.Context) (UpstreamList, error) {
	s.calls.Add(1)
	return UpstreamList{}, ErrRefused
}

func (s *rejectingStore) ReadOperatorState(context.Context) (OperatorState, error) {
	s.calls.Add(1)
	return OperatorState{}, ErrRefused
}

// Guards against an instance whose store calls are rejected repeating them, at a charge
// for each call, although the leader sends it the complete state.
func TestInstanceRejectedByStoreReliesOnLeader(t *testing.T) {
	store := &rejectingStore{}
	r := New(Settings{Instance: "a", FirstStart: true}, Platform{Store: store}, NewMetrics(), hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(t.Context(), maxStoreRetryDelay*2)
	defer cancel()
	r.operatorState.Store(&OperatorState{})
	updateFromLeader := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.listedAt, r.operatorConfirmedAt, r.leader.heardAt = time.Now(), time.Now(), time.Now()
	}
	updateFromLeader()
	go r.syncUpstreams(ctx)
	go r.syncOperator(ctx)
	for ctx.Err() == nil {
		updateFromLeader()
		sleep(ctx, stalenessPoll)
	}
	// The operator state is read once before the instance relies on the leader.
	if got := store.calls.Load(); got > 1 {
		t.Errorf("%d store calls, want at most 1", got)
	}
}

// Guards against keeping an upstream that has left: an instance that relied on the
// leader for a long time must not take its next successful store call for the end of an
// outage.
func TestOutageEndsWithLeadersList(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		listAfter time.Duration // time of the leader's list after the failed call; 0: no list
		want      bool
	}{
		"the leader continued to send lists": {listAfter: time.Second, want: false},
		"no instance reached the store":      {want: true},
	} {
		r, _ := newRouter(t, "a")
		r.setUpstreams(start, start, []balance.Registration{{ID: "u", Service: "s", Slots: 1}})
		r.noteStoreResult(start, ErrRefused)
		if c.listAfter > 0 {
			listedAt := start.Add(c.listAfter)
			r.setUpstreams(listedAt, listedAt, []balance.Registration{{ID: "u", Service: "s", Slots: 1}})
		}
		storeBackAt := start.Add(20 * time.Second)
		r.noteStoreResult(storeBackAt, nil)
		r.setUpstreams(storeBackAt, storeBackAt, nil)
		if got := r.upstreams.Get("u") != nil; got != c.want {
			t.Errorf("%s: upstream kept: %t, want %t", name, got, c.want)
		}
	}
}

// Guards against a large fleet that makes hundreds of calls a second while the store is
// away, each of which is charged for, and against instances that notice its return too late.
func TestStoreRetriesOfLargeFleets(t *testing.T) {
	const (
		outage       = 4500 * time.Millisecond
		bindingAfter = 3 * time.Second // after the end of an outage
	)
	calls := func(n int) (count int) {
		first, longest := storeRetryDelays(n)
		delay := time.Duration(0)
		for at := time.Duration(0); at < outage; at += delay {
			count++
			delay = max(first, min(2*delay, longest))
		}
		return count
	}
	for _, n := range []int{0, smallFleetSize, 60, 86, 195, 300} {
		_, longest := storeRetryDelays(n)
		if longest+storeTimeout > bindingAfter {
			t.Errorf("%d instances: a call may come %v after the store's return", n, longest)
		}
		if n <= smallFleetSize {
			continue
		}
		if got, most := calls(n), calls(smallFleetSize)/2; got > most {
			t.Errorf("each of %d instances makes %d calls in an outage, want at most half of those in a small fleet, %d", n, got, most)
		}
	}
}
