package front

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// UpstreamConfig configures an Upstream.
type UpstreamConfig struct {
	ID, Service, Zone string
	Sharded           bool          // executes requests only for keys that it was granted
	Version           string        // stated in the registration; empty means v1
	Slots             int           // requests executed at a time; 0 means 6
	ServiceTime       time.Duration // service time of a request
	Addr              string        // "IP:port"; empty means a free port of 127.0.0.1
	// OnStart is called for every request when its execution starts.
	OnStart func(u *Upstream, r *http.Request)
	// Handler, if not nil, handles requests in place of the default handler. The request's id
	// and the receipt are set in the headers of the answer.
	Handler func(w http.ResponseWriter, r *http.Request)
	Grants  *GrantLog // records accepted grants; nil: none are recorded
}

// Upstream is a double of an upstream server of the platform.
type Upstream struct {
	cfg UpstreamConfig

	mu          sync.Mutex
	server      *http.Server
	addr        string
	startUnixMs int64
	seq         int
	grants      []grant
	running     int
	waiting     int
	requests    []*http.Request
	coldLeft    time.Duration
	slots       chan struct{}
	header      http.Header // of all answers
}

// grant is the exclusive ownership of a range of keys, both ends included, until it
// expires. fence is its fencing token.
type grant struct {
	from, to, fence int
	expiresAt       time.Time
}

// StartUpstream starts an upstream. It does not register in the store: the caller writes
// the entry that Registration returns.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 6
	}
	if cfg.Version == "" {
		cfg.Version = "v1"
	}
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	u := &Upstream{cfg: cfg}
	return u, u.Restart()
}

// Restart starts the upstream again after Crash, with the same id and address and
// without keys.
func (u *Upstream) Restart() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	addr := u.addr
	if addr == "" {
		addr = u.cfg.Addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	u.addr, u.grants, u.seq, u.running, u.waiting, u.header = ln.Addr().String(), nil, 0, 0, 0, nil
	u.startUnixMs = time.Now().UnixMilli()
	u.slots = make(chan struct{}, u.cfg.Slots)
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 5 * time.Second}
	server := u.server
	go func() { _ = server.Serve(ln) }() // returns after Crash
	return nil
}

// Crash stops the upstream at once and closes the connections of its requests.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.grants = nil
	u.cfg.Grants.ended(u.cfg.ID, "crashes and loses", 0, keyCount-1)
	_ = u.server.Close()
}

// SetHandler sets the handler of later requests; nil restores the default handler.
func (u *Upstream) SetHandler(f func(w http.ResponseWriter, r *http.Request)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cfg.Handler = f
}

// SetHeader sets headers that all later answers have, those to grants and releases and
// refusals included. Restart removes them.
func (u *Upstream) SetHeader(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.header = h
}

// Addr returns the address that the upstream listens on, "IP:port".
func (u *Upstream) Addr() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.addr
}

// ID returns the id of the upstream.
func (u *Upstream) ID() string { return u.cfg.ID }

// Requests returns all requests that arrived, refused ones included.
func (u *Upstream) Requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.requests...)
}

// Holds reports whether the upstream has an unexpired grant for a key.
func (u *Upstream) Holds(key int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holdsKey(time.Now(), key)
}

// holdsKey reports whether a grant for key is unexpired at now. The caller holds mu.
func (u *Upstream) holdsKey(now time.Time, key int) bool {
	for _, h := range u.grants {
		if key >= h.from && key <= h.to && now.Before(h.expiresAt) {
			return true
		}
	}
	return false
}

// Registration returns the key and value of the upstream's entry in the store. addr is
// the address to register; empty means the address that the upstream listens on.
func (u *Upstream) Registration(addr string, draining bool) (key, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if addr == "" {
		addr = u.addr
	}
	state := "ready"
	if draining {
		state = "draining"
	}
	u.seq++
	return "servers/" + u.cfg.ID, fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":%q,"zone":%q,"slots":%d},"status":{"state":%q,"seq":%d,"coldLeft":"%dms"}}`,
		u.startUnixMs, addr, u.cfg.Service, u.cfg.Version, u.cfg.Zone, u.cfg.Slots, state, u.seq, u.coldLeft.Milliseconds())
}

// ServeHTTP handles grants and releases of keys, and client requests.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	maps.Copy(w.Header(), u.header)
	u.mu.Unlock()
	if r.URL.Path == "/api/grant" || r.URL.Path == "/api/release" {
		u.serveKeyOrder(w, r)
		return
	}
	key, keyErr := strconv.Atoi(r.Header.Get("Shard-Key"))
	u.mu.Lock()
	u.requests = append(u.requests, r)
	holds := !u.cfg.Sharded || keyErr == nil && u.holdsKey(time.Now(), key)
	answer, slots := u.cfg.Handler, u.slots
	u.mu.Unlock()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if r.Header.Get("Expect-Instance") != u.cfg.ID || !holds {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Seal", "seal-"+u.cfg.ID)
	if answer != nil {
		answer(w, r)
		return
	}
	u.addTo(&u.waiting, 1)
	select {
	case slots <- struct{}{}:
		u.addTo(&u.waiting, -1)
	case <-r.Context().Done():
		u.addTo(&u.waiting, -1)
		return
	}
	defer func() { <-slots }()
	if u.cfg.Sharded && !u.Holds(key) { // the grant expired while the request was queued
		w.Header().Del("Server-Seal")
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.cfg.OnStart != nil {
		u.cfg.OnStart(u, r)
	}
	u.addTo(&u.running, 1)
	defer u.addTo(&u.running, -1)
	select {
	case <-time.After(u.cfg.ServiceTime):
	case <-r.Context().Done(): // the router closed the connection
		return
	}
	u.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.cfg.Slots)
	u.mu.Unlock()
	w.Header().Set("Server-Load", load)
	_, _ = io.WriteString(w, "by "+u.cfg.ID) // fails if the router has closed the connection
}

// addTo adds delta to one of the upstream's request counters.
func (u *Upstream) addTo(counter *int, delta int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	*counter += delta
}

// serveKeyOrder handles a grant or a release of keys. It refuses a grant with 409
// Conflict if a known fencing token for one of its keys is higher.
func (u *Upstream) serveKeyOrder(w http.ResponseWriter, r *http.Request) {
	receivedAt := time.Now()
	var order struct {
		From, Target, Fence int
		Hold                string `json:"hold_time"`
	}
	err := json.NewDecoder(r.Body).Decode(&order)
	var holdTime time.Duration
	if err == nil && r.URL.Path == "/api/grant" {
		holdTime, err = time.ParseDuration(order.Hold)
	}
	if err != nil || order.From < 0 || order.Target < order.From || order.Target >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.URL.Path == "/api/release" {
		for _, h := range u.grants { // released keys keep an expired grant, so that their fencing token stays in force
			if h.from <= order.Target && h.to >= order.From {
				h.from, h.to, h.expiresAt = max(h.from, order.From), min(h.to, order.Target), time.Time{}
				u.cfg.Grants.ended(u.cfg.ID, "releases", h.from, h.to)
				u.grants = append(withoutKeys(u.grants, h.from, h.to), h)
			}
		}
		w.Header().Set("Handover", "h1")
		return
	}
	for _, h := range u.grants {
		if h.fence > order.Fence && h.from <= order.Target && h.to >= order.From {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	g := grant{order.From, order.Target, order.Fence, receivedAt.Add(holdTime)}
	u.grants = append(withoutKeys(u.grants, g.from, g.to), g)
	u.cfg.Grants.granted(u.cfg.ID, g, receivedAt)
}

// withoutKeys returns grants without the keys from from to to, both included. It splits
// grants that also cover other keys.
func withoutKeys(grants []grant, from, to int) []grant {
	var out []grant
	for _, h := range grants {
		if h.to < from || h.from > to {
			out = append(out, h)
			continue
		}
		if h.from < from {
			out = append(out, grant{h.from, from - 1, h.fence, h.expiresAt})
		}
		if h.to > to {
			out = append(out, grant{to + 1, h.to, h.fence, h.expiresAt})
		}
	}
	return out
}
