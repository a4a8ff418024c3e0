package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/front"
)

const (
	upstreamSlots = 6
	upstreamQueue = 24
)

// upstreamConfig describes the upstreams of a service.
type upstreamConfig struct {
	service string
	sharded bool
	work    time.Duration // mean time of a request
	speed   float64       // relative
}

// upstream is a stand-in of an upstream. The project's own stand-in accepts grants and
// checks keys; this one adds slots, a queue and what it records.
type upstream struct {
	*front.Upstream
	d     *deployment
	cfg   upstreamConfig
	slots chan struct{}

	mu      sync.Mutex
	waiting int
	status  func() int // of the next run; nil: 200
}

// addUpstream starts an upstream and registers it.
func (d *deployment) addUpstream(cfg upstreamConfig) (*upstream, error) {
	d.mu.Lock()
	n := len(d.upstreams)
	d.mu.Unlock()
	u := &upstream{d: d, cfg: cfg, slots: make(chan struct{}, upstreamSlots)}
	var err error
	u.Upstream, err = front.StartUpstream(front.UpstreamConfig{
		ID: fmt.Sprintf("i-%02x%06x", n, rand.Uint32N(1<<24)), Service: cfg.service, Zone: zones[n%len(zones)], Sharded: cfg.sharded, Slots: upstreamSlots,
		Addr: d.network + ".251:0", Handler: u.serve,
	})
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.upstreams = append(d.upstreams, u)
	d.mu.Unlock()
	u.register()
	return u, nil
}

// register writes the entry of the upstream.
func (u *upstream) register() {
	key, value := u.Registration("", false)
	u.d.store.PutWithTTL(key, value, 3*heartbeat)
}

// beat renews the entries of all upstreams until the deployment stops.
func (d *deployment) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-d.stopBeats:
			return
		case <-tick.C:
		}
		d.mu.Lock()
		list := append([]*upstream(nil), d.upstreams...)
		d.mu.Unlock()
		for _, u := range list {
			u.register()
		}
	}
}

// serve runs a request once a slot is free, or refuses it if the queue is full.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	u.d.note(id, func(o *outcome) { o.arrived++ })
	u.mu.Lock()
	full := u.waiting >= upstreamQueue
	if !full {
		u.waiting++
	}
	u.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Server-Load", u.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		u.addWaiting(-1)
	case <-r.Context().Done():
		u.addWaiting(-1)
		return
	}
	defer func() { <-u.slots }()
	u.d.note(id, func(o *outcome) { o.ran++ })
	work := time.Duration(float64(u.cfg.work) * (0.7 + 0.6*rand.Float64()) / u.cfg.speed)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	status := http.StatusOK
	u.mu.Lock()
	if u.status != nil {
		status = u.status()
	}
	u.mu.Unlock()
	u.d.note(id, func(o *outcome) { o.statuses = append(o.statuses, status) })
	w.Header().Set("Server-Seal", "seal-"+u.ID())
	w.Header().Set("Server-Load", u.load())
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "status %d of %s for %s", status, u.ID(), id) // fails if the instance has closed the connection
}

func (u *upstream) addWaiting(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting += n
}

// load returns the value of the header Server-Load.
func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", len(u.slots), u.waiting, upstreamSlots)
}

// setStatus makes the upstream answer runs with the statuses that f returns.
func (u *upstream) setStatus(f func() int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.status = f
}

// note changes what is known of a request.
func (d *deployment) note(id string, f func(o *outcome)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	o := d.runs[id]
	if o == nil {
		o = &outcome{}
		d.runs[id] = o
	}
	f(o)
}

// seen returns what upstreams saw of a request.
func (d *deployment) seen(id string) outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o := d.runs[id]; o != nil {
		return outcome{o.arrived, o.ran, append([]int(nil), o.statuses...)}
	}
	return outcome{}
}

func splitLines(s string) []string { return strings.Split(s, "\n") }
