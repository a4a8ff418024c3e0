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

// Guards against fields that are lost or confused between client and upstream.
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

// driver executes the actions of a table.
type driver struct {
	mu     sync.Mutex
	table  *dispatch.Table
	client *upstream.Client
	ends   map[fleet.RequestID]chan bool
	wg     sync.WaitGroup
}

func (d *driver) do(f func(now time.Time) []dispatch.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range f(time.Now()) {
		switch a := a.(type) {
		case dispatch.SendControl:
			d.wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
				defer cancel()
				reply, err := d.client.Control(ctx, a.Address, a.Call)
				d.do(func(now time.Time) []dispatch.Action {
					return d.table.ControlDone(now, upstream.ControlResult(a, reply, err))
				})
			})
		case dispatch.SendRequest:
			d.wg.Go(func() {
				res, err := d.client.Do(context.Background(), a.Address, upstream.Request{Send: a, Method: http.MethodGet, Target: "/k"})
				d.do(func(now time.Time) []dispatch.Action {
					return d.table.Done(now, a.ID, a.Attempt, upstream.Result(res, err))
				})
			})
		case dispatch.Answer:
			d.ends[a.ID] <- true
		case dispatch.Refuse:
			d.ends[a.ID] <- false
		}
	}
}

func (d *driver) request(id fleet.RequestID) bool {
	end := make(chan bool, 1)
	d.mu.Lock()
	d.ends[id] = end
	d.mu.Unlock()
	d.do(func(now time.Time) []dispatch.Action {
		return d.table.Submit(now, dispatch.Request{
			ID: id, Account: "a", Unit: fleet.Unit{Service: "s"}, Key: "k", Upstream: "u1", Deadline: now.Add(5 * time.Second),
		})
	})
	return <-end
}

// Guards against a table, client and upstream that do not fit together, and
// against a limit that grows faster than a cold upstream warms.
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
	d := &driver{
		table: dispatch.New(dispatch.Config{}), client: upstream.New(c),
		ends: make(map[fleet.RequestID]chan bool),
	}
	d.do(func(now time.Time) []dispatch.Action { return d.table.Tick(now, now.Add(time.Second)) })
	d.do(func(now time.Time) []dispatch.Action {
		return d.table.Assign(now, []dispatch.Duty{{
			Upstream: "u1", Service: "s", Address: server.Addr(), Fence: 7, Slots: 6, ColdSlots: 2, WarmTime: 400 * time.Millisecond, Fenced: true, Taken: now,
			Units: []assignment.Ownership{{Unit: fleet.Unit{Service: "s"}, Owner: "u1", Fence: 11}},
		}})
	})
	stop, ticking := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ticking)
		for tick := time.NewTicker(10 * time.Millisecond); ; {
			d.do(func(now time.Time) []dispatch.Action { return d.table.Tick(now, now.Add(time.Second)) })
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
		t.Errorf("limit %d, overload %t", limit, bytes.Contains(history.Bytes(), []byte(`"event":"overload"`)))
	}
	t.Logf("%d effects", bytes.Count(history.Bytes(), []byte(`"event":"effect"`)))
}
