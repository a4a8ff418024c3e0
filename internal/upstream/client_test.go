package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/upstream"
	"github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against fields of control calls and replies that are lost or mixed up by
// encoding and decoding.
func TestCodec(t *testing.T) {
	grants := []fleet.Grant{{Unit: fleet.Unit{Service: "s", Shard: 3}, Fence: 1 << 60}, {Unit: fleet.Unit{Service: "s", Pin: "ä/\"\n"}, Fence: 2}}
	for _, c := range []dispatch.Call{
		{Kind: dispatch.Hello, DispatcherFence: 7, Instance: "i1"},
		{Kind: dispatch.Renew, DispatcherFence: 7, Stamp: 1 << 60, TTL: 900 * time.Millisecond},
		{Kind: dispatch.GrantUnits, DispatcherFence: 7, Grants: grants},
		{Kind: dispatch.RevokeUnits, DispatcherFence: 7, Grants: grants},
	} {
		got, err := upstream.DecodeCall(c.Kind, "s", upstream.EncodeCall(c))
		if diff := cmp.Diff(c, got); diff != "" || err != nil {
			t.Error(err, diff)
		}
	}
	want := dispatch.Reply{Boot: "b", Stamp: 5, Fence: 9}
	got, err := upstream.DecodeReply(upstream.EncodeReply(want))
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Error(err, diff)
	}
	if _, err := upstream.DecodeReply([]byte(`{"boot":3}`)); err == nil {
		t.Error("a reply with a numeric boot id was accepted")
	}
}

// tableDriver executes the actions of a dispatch.Table. The channel of a request
// receives whether the request was answered.
type tableDriver struct {
	mu       sync.Mutex
	table    *dispatch.Table
	client   *upstream.Client
	answered map[fleet.RequestID]chan bool
	wg       sync.WaitGroup
}

func (d *tableDriver) run(f func(now time.Time) []dispatch.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range f(time.Now()) {
		switch a := a.(type) {
		case dispatch.SendControl:
			d.wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
				defer cancel()
				reply, err := d.client.Control(ctx, a.Address, a.Call)
				d.run(func(now time.Time) []dispatch.Action {
					return d.table.ControlDone(now, upstream.ControlResult(a, reply, err))
				})
			})
		case dispatch.SendRequest:
			d.wg.Go(func() {
				res, err := d.client.Do(context.Background(), a.Address, upstream.Request{Send: a, Method: http.MethodGet, Target: "/k"})
				d.run(func(now time.Time) []dispatch.Action {
					return d.table.Done(now, a.ID, a.Attempt, upstream.Result(res, err))
				})
			})
		case dispatch.Answer:
			d.answered[a.ID] <- true
		case dispatch.Refuse:
			d.answered[a.ID] <- false
		}
	}
}

func (d *tableDriver) request(id fleet.RequestID) bool {
	answered := make(chan bool, 1)
	d.mu.Lock()
	d.answered[id] = answered
	d.mu.Unlock()
	d.run(func(now time.Time) []dispatch.Action {
		return d.table.Submit(now, dispatch.Request{
			ID: id, Account: "a", Unit: fleet.Unit{Service: "s"}, Key: "k", Upstream: "u1", Deadline: now.Add(5 * time.Second),
		})
	})
	return <-answered
}

// Guards against a dispatch table, client and upstream that do not interoperate, and
// against a concurrency limit that grows faster than a cold upstream warms up, which
// overloads it.
func TestColdStart(t *testing.T) {
	var history bytes.Buffer
	server, err := standin.Start(standin.Config{
		Name: "u1", Service: "s", Addr: "127.0.0.1:0", Slots: 6, ColdSlots: 2, MaxConns: 120,
		WarmTime: 400 * time.Millisecond, ServiceTime: 2 * time.Millisecond, History: &history, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	c, err := http1.NewClient()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	d := &tableDriver{
		table: dispatch.New(dispatch.Config{}), client: upstream.New(c),
		answered: make(map[fleet.RequestID]chan bool),
	}
	d.run(func(now time.Time) []dispatch.Action { return d.table.Tick(now, now.Add(time.Second)) })
	d.run(func(now time.Time) []dispatch.Action {
		return d.table.Assign(now, []dispatch.Duty{{
			Upstream: "u1", Service: "s", Address: server.Addr(), Fence: 7, Slots: 6, ColdSlots: 2, WarmTime: 400 * time.Millisecond, Fenced: true, InForceSince: now,
			Units: []assignment.Ownership{{Unit: fleet.Unit{Service: "s"}, Owner: "u1", Fence: 11}},
		}})
	})
	stop, ticking := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ticking)
		for tick := time.NewTicker(10 * time.Millisecond); ; {
			d.run(func(now time.Time) []dispatch.Action { return d.table.Tick(now, now.Add(time.Second)) })
			select {
			case <-stop:
				return
			case <-tick.C:
			}
		}
	}()
	end := time.Now().Add(time.Second)
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				if id := fleet.RequestID(fmt.Sprintf("r%d-%d", i, n)); !d.request(id) {
					t.Errorf("%s was refused", id)
				}
			}
		})
	}
	clients.Wait()
	close(stop)
	<-ticking
	d.wg.Wait()
	limit := d.table.Reports(time.Now())["u1"].Limit
	if limit != 6 || bytes.Contains(history.Bytes(), []byte(`"event":"overload"`)) {
		t.Errorf("concurrency limit %d, want 6; overloaded %t, want false", limit, bytes.Contains(history.Bytes(), []byte(`"event":"overload"`)))
	}
	t.Logf("%d effects", bytes.Count(history.Bytes(), []byte(`"event":"effect"`)))
}
