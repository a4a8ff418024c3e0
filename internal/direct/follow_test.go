package direct

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
)

// refusingStore turns every call away and counts them.
type refusingStore struct {
	Store
	calls atomic.Int32
}

func (s *refusingStore) Upstreams(context.Context) ([]balance.Registration, []error, error) {
	s.calls.Add(1)
	return nil, nil, ErrRefused
}

func (s *refusingStore) Operator(context.Context) (Operator, error) {
	s.calls.Add(1)
	return Operator{}, ErrRefused
}

// Guards against priced calls by an instance that the store turns away, while its
// leader tells it all.
func TestTurnedAwayInstanceRestsOnLeader(t *testing.T) {
	store := &refusingStore{}
	r := New(Settings{Instance: "a", FirstStart: true}, Platform{Store: store}, NewMetrics(), hclog.NewNullLogger())
	ctx, cancel := context.WithTimeout(t.Context(), maxStorePause*2)
	defer cancel()
	r.operator.Store(&Operator{})
	told := func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.listed, r.operatorChecked, r.leader.heard = time.Now(), time.Now(), time.Now()
	}
	told()
	go r.followUpstreams(ctx)
	go r.followOperator(ctx)
	for ctx.Err() == nil {
		told()
		sleep(ctx, followPace)
	}
	// The operators' wishes are read once, before the leader is relied on.
	if got := store.calls.Load(); got > 1 {
		t.Errorf("%d calls of the store, want 1 at most", got)
	}
}

// Guards against an upstream that is kept after it has left, because an instance that
// rested on its leader takes its first call in a long time for the end of an outage.
func TestOutageEndsWithLeadersList(t *testing.T) {
	began := time.Now()
	for name, c := range map[string]struct {
		toldAfter time.Duration // the failure; 0: never
		want      bool
	}{
		"the leader went on telling": {toldAfter: time.Second, want: false},
		"nobody reached the store":   {want: true},
	} {
		r, _ := newRouter(t, "a")
		r.setUpstreams(began, began, []balance.Registration{{ID: "u", Service: "s", Slots: 1}})
		r.storeAnswered(began, ErrRefused)
		if c.toldAfter > 0 {
			at := began.Add(c.toldAfter)
			r.setUpstreams(at, at, []balance.Registration{{ID: "u", Service: "s", Slots: 1}})
		}
		back := began.Add(20 * time.Second)
		r.storeAnswered(back, nil)
		r.setUpstreams(back, back, nil)
		if got := r.upstreams.Get("u") != nil; got != c.want {
			t.Errorf("%s: the upstream is kept %t, want %t", name, got, c.want)
		}
	}
}
