//go:build review3

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/front"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
)

// Doses of loneCase. On the site svsa-riders, "platform_down" with "nodes leader reset" of one
// machine lasts up to 7.0 s, and "srv_crash" up to 5.1 s.
const (
	rejectedFor = 7 * time.Second
	crashedFor  = 4600 * time.Millisecond
)

// lateHold is the time after the end of the rejection in which a hold still rests on a grant
// from before it: grants last 2.5 s or more and are renewed every 0.5 s.
const lateHold = time.Second

// holders are the upstreams of the sharded service.
type holders struct {
	rec    *record
	grants *front.GrantLog

	mu   sync.Mutex
	list []*front.Upstream
	up   map[string]bool
	// shared counts the runs that an upstream began on a key that another one held, by
	// "RUNNER OTHER", until counted is set.
	shared  map[string]int
	counted bool
}

func startHolders(f *fleet, n int) (*holders, []*registered, error) {
	h := &holders{rec: f.rec, grants: front.NewGrantLog(), up: make(map[string]bool), shared: make(map[string]int)}
	var entries []*registered
	for i := range n {
		u, err := front.StartUpstream(front.UpstreamConfig{
			ID: fmt.Sprint("v", i+1), Service: "vault", Zone: fmt.Sprint("z", i%3+1), Sharded: true, ServiceTime: 20 * time.Millisecond,
			Addr: f.network + ".100:0", Grants: h.grants, OnStart: h.noteRun,
		})
		if err != nil {
			return nil, nil, err
		}
		h.mu.Lock()
		h.list, h.up[u.ID()] = append(h.list, u), true
		h.mu.Unlock()
		entries = append(entries, f.register(func() (string, string) { return u.Registration("", false) }))
	}
	return h, entries, nil
}

// noteRun records that u begins a request, and which other upstreams hold its key.
func (h *holders) noteRun(u *front.Upstream, r *http.Request) {
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	h.mu.Lock()
	defer h.mu.Unlock()
	others := ""
	for _, o := range h.list {
		if o != u && h.up[o.ID()] && o.Holds(key) {
			others += " " + o.ID()
			if !h.counted {
				h.shared[u.ID()+" "+o.ID()]++
			}
		}
	}
	text := ""
	if others != "" {
		text = ", which is held by" + others + " too"
	}
	h.rec.add("worker %s begins %s on key %d%s", u.ID(), r.Header.Get("Request-Id"), key, text)
}

// endCount ends the count of shared.
func (h *holders) endCount() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counted = true
}

// broken returns the first grant before the given time by which an upstream took keys that
// another one held, if both began requests on keys that the other one held.
func (h *holders) broken(before time.Time) (front.GrantViolation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.grants.Violations() {
		if v.Held && v.At.Before(before) && h.shared[v.Upstream+" "+v.Other] > 0 && h.shared[v.Other+" "+v.Upstream] > 0 {
			return v, true
		}
	}
	return front.GrantViolation{}, false
}

func (h *holders) setUp(id string, up bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.up[id] = up
}

// sendKeys sends requests for keys of the whole range through an instance until stop is
// closed.
func sendKeys(rec *record, in *instance, name string, interval time.Duration, stop <-chan struct{}) (served int) {
	c := &client{addr: in.addr(frontPort)}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return served
		case <-time.After(interval):
		}
		id, key := fmt.Sprintf("%s-%d", name, n), rand.IntN(1<<16)
		rec.add("client sends %s by %s on key %d", id, in.name, key)
		a, _, err := c.do(call{method: "GET", target: "/keys/" + id, host: host, id: id, key: "key-acme", header: []string{fmt.Sprint("Shard-Key: ", key)}, timeout: 3 * time.Second})
		if err != nil {
			rec.add("client %s by %s on key %d: no answer: %v", id, in.name, key, err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		rec.add("client %s by %s on key %d: status %d", id, in.name, key, a.status)
		if a.status == 200 {
			served++
		}
	}
}

// loneCase checks OWNER. Two of three machines are removed for good. Later the platform's
// store rejects the third one for a while, in which a new machine comes, and an upstream
// crashes and starts again under its id.
func loneCase(rec *record, trouble bool) int {
	f, err := startFleet(rec, standardConfig)
	if err != nil {
		rec.add("start: %v", err)
		return failed
	}
	defer f.close()
	h, entries, err := startHolders(f, 8)
	if err != nil {
		rec.add("start: %v", err)
		return failed
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	endClients := sync.OnceFunc(func() {
		close(stop)
		clients.Wait()
	})
	defer endClients()
	var served [4]int // by instance
	serve := func(i int) {
		for n := range 10 {
			clients.Go(func() {
				s := sendKeys(rec, f.instances[i], fmt.Sprintf("c%d%d", i, n), 40*time.Millisecond, stop)
				h.mu.Lock()
				defer h.mu.Unlock()
				served[i] += s
			})
		}
	}
	for i := range 3 {
		if _, err := f.addInstance(fmt.Sprint("front-", i+1), fmt.Sprint("z", i+1), true); err != nil {
			rec.add("start: %v", err)
			return failed
		}
	}
	if !f.awaitReady(15 * time.Second) {
		return failed
	}
	time.Sleep(8 * time.Second)
	serve(0)
	if trouble {
		rec.add("front-2 and front-3 are removed for good")
		f.instances[1].kill()
		f.instances[2].kill()
	}
	time.Sleep(15 * time.Second) // what follows is independent of the removal

	if trouble {
		rec.add("the store rejects front-1 for %v", rejectedFor)
		if err := f.relays.SetFault("store-front-1", relay.Fault{Mode: relay.ModeReset}); err != nil {
			return failed
		}
		if err := f.relays.SetFault("store-front-1", relay.Fault{Mode: relay.ModeRefuse}); err != nil {
			return failed
		}
	}
	rejectedAt := time.Now()
	time.Sleep(1550 * time.Millisecond)
	if _, err := f.addInstance("front-4", "z2", false); err != nil {
		rec.add("start: %v", err)
		return failed
	}
	serve(3)
	time.Sleep(150 * time.Millisecond)
	if trouble {
		u := h.list[0]
		rec.add("worker %s crashes", u.ID())
		f.setSilent(entries[0], true)
		h.setUp(u.ID(), false)
		u.Crash()
		time.Sleep(crashedFor)
		if err := u.Restart(); err != nil {
			rec.add("worker %s cannot start again: %v", u.ID(), err)
			return failed
		}
		h.setUp(u.ID(), true)
		f.setSilent(entries[0], false)
		rec.add("worker %s has started again", u.ID())
	} else {
		time.Sleep(crashedFor)
	}
	time.Sleep(time.Until(rejectedAt.Add(rejectedFor)))
	healedAt := time.Now()
	if trouble {
		rec.add("the store serves front-1 again")
		if err := f.relays.SetFault("store-front-1", relay.Fault{Mode: relay.ModeOK}); err != nil {
			return failed
		}
	}
	time.Sleep(lateHold)
	h.endCount()
	time.Sleep(3 * time.Second)
	endClients()
	for _, v := range h.grants.Violations() {
		rec.add("grant at %.3f s: %v", v.At.Sub(rec.start).Seconds(), v)
	}
	for _, in := range f.instances {
		for _, line := range append(in.logLines(`"leading"`), in.logLines("leadership ended")...) {
			rec.add("log of %s: %s", in.name, line)
		}
	}
	if v, ok := h.broken(healedAt); ok {
		rec.add("OWNER is broken: %v, and both began requests on keys that the other one held", v)
		return broken
	}
	if served[0] == 0 || served[3] == 0 {
		rec.add("an instance served nothing: %v", served)
		return failed
	}
	return held
}
