// Package front provides test doubles of the outer platform: its key-value store and
// upstreams that register in that store. Both speak the platform's HTTP protocol and
// inject faults on request.
package front

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leaseSweepInterval is the time between two scans for expired leases.
const leaseSweepInterval = 20 * time.Millisecond

// eraHeader names the response header that counts the restorations of the store.
const eraHeader = "Store-Era"

// Store is an in-memory double of the platform's key-value store. It implements the
// HTTP calls that parsleyproxy makes, and can be restored from a copy of its contents.
type Store struct {
	server   *http.Server
	listener net.Listener
	stop     chan struct{}

	mu sync.Mutex
	contents
	era          int  // 1 at the start, one more after each restoration
	leasesFrozen bool // leases do not expire while set
	changed      chan struct{}
	faultFor     func(call string) Fault
	callCounts   map[string]int
	external     map[string]ExternalWrite // last write of each key by operators and upstreams; not lost by a restoration
	externalSeq  int                      // of the last external write
}

// contents is everything that a restoration replaces.
type contents struct {
	rev     int
	items   map[string]item
	removed map[string]int // revision at which each key was last removed
	// droppedRev is the last revision that was dropped from the history. A watch
	// from an earlier revision is answered with 410 Gone.
	droppedRev int
	leases     map[int]lease
	applied    map[string]int // sequence number of the external write of each key that the contents include
}

// clone returns a copy that later writes do not change.
func (c contents) clone() contents {
	c.items, c.removed = maps.Clone(c.items), maps.Clone(c.removed)
	c.leases, c.applied = maps.Clone(c.leases), maps.Clone(c.applied)
	return c
}

// item is a stored value, with the revision of its last write and the id of its lease
// (0: none).
type item struct {
	value string
	rev   int
	lease int
}

// lease is a time to live that one or more keys share.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Fault describes the fault that is injected into one call. The zero value injects none.
type Fault struct {
	Status       int           // HTTP status answered without executing the call; 0 executes it
	Delay        time.Duration // wait before the call is executed
	DropResponse bool          // the call is executed, but the connection is closed without a response
	NoResponse   bool          // the call is neither executed nor answered
	ExecuteAfter time.Duration // the connection is closed at once, and the call is executed after this time
}

// StartStore starts an empty store that listens on addr, "IP:port". Port 0 picks a
// free port.
func StartStore(addr string) (*Store, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: ln, stop: make(chan struct{}), era: 1, changed: make(chan struct{}),
		contents:   contents{rev: 1, items: make(map[string]item), removed: make(map[string]int), leases: make(map[int]lease), applied: make(map[string]int)},
		callCounts: make(map[string]int), external: make(map[string]ExternalWrite),
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(ln) }() // returns after Close
	go s.sweepLeases()
	return s, nil
}

// Addr returns the address that the store listens on, "IP:port".
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	close(s.stop)
	_ = s.server.Close()
}

// SetFault sets the function that chooses the fault of each call, by the call's name,
// such as "kv-key". A nil function ends fault injection.
func (s *Store) SetFault(f func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultFor = f
}

// FreezeLeases stops the expiry of leases if frozen is set, and resumes it otherwise.
func (s *Store) FreezeLeases(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leasesFrozen = frozen
}

// CallCount returns how many times a call was made. A call is its name and, separated by
// a space, its prefix if it has one: "kv-key" or "kv-watch op/".
func (s *Store) CallCount(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[call]
}

// Value returns the value of a key, and whether the key exists.
func (s *Store) Value(key string) (value string, exists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, exists := s.items[key]
	return it.value, exists
}

// Put writes a key without a lease, as operators do.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordExternal(ExternalWrite{Key: key, Value: value})
	s.put(key, item{value: value})
}

// PutWithTTL writes a key with a lease, as upstreams do: the key is removed after ttl unless
// it is written again before.
func (s *Store) PutWithTTL(key, value string, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordExternal(ExternalWrite{Key: key, Value: value, TTL: ttl})
	s.putWithTTL(key, value, ttl)
}

// putWithTTL writes a key with the lease that it has, or else with a new one. The caller
// holds mu.
func (s *Store) putWithTTL(key, value string, ttl time.Duration) {
	id := s.items[key].lease
	if id == 0 {
		s.rev++
		id = s.rev
	}
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.put(key, item{value: value, lease: id})
}

// put stores an item at a new revision. The caller holds mu.
func (s *Store) put(key string, it item) {
	s.rev++
	it.rev = s.rev
	s.items[key] = it
	s.notifyWatchers()
}

// Remove removes a key. It does nothing if the key does not exist.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordExternal(ExternalWrite{Key: key, Removed: true})
	s.remove(key)
}

// remove removes a key at a new revision. The caller holds mu.
func (s *Store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	s.rev++
	delete(s.items, key)
	s.removed[key] = s.rev
	s.notifyWatchers()
}

// DropHistory drops the event history up to the current revision, so that watches from
// earlier revisions fail with 410 Gone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedRev = s.rev
	s.notifyWatchers()
}

// notifyWatchers wakes all pending watches. The caller holds mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sweepLeases expires leases at regular intervals until the store is closed.
func (s *Store) sweepLeases() {
	tick := time.NewTicker(leaseSweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.expireLeases(now)
		}
	}
}

// expireLeases removes the leases that end before now, with their keys. While leases are
// frozen it extends each of them by one sweep interval instead.
func (s *Store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if s.leasesFrozen {
			l.expiresAt = l.expiresAt.Add(leaseSweepInterval)
			s.leases[id] = l
		}
		if now.After(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys. The caller holds mu.
func (s *Store) removeLease(id int) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id {
			s.remove(key)
			if s.external[key].seq == s.applied[key] {
				delete(s.external, key) // the writer is silent and does not write the key again
			}
		}
	}
}

// ServeHTTP counts a call, injects its fault, executes it and answers it.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := strings.SplitN(strings.TrimPrefix(r.URL.Path, "/api/"), "/", 2)[0]
	prefix := r.URL.Query().Get("prefix")
	var f Fault
	s.mu.Lock()
	s.callCounts[strings.TrimSpace(call+" "+prefix)]++
	if s.faultFor != nil {
		f = s.faultFor(call)
	}
	era := s.era
	s.mu.Unlock()
	txn := decodeTxn(r)
	switch {
	case f.NoResponse:
		<-r.Context().Done()
		return
	case f.ExecuteAfter > 0:
		time.AfterFunc(f.ExecuteAfter, func() { s.execute(call, r, txn) })
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.Header().Set(eraHeader, strconv.Itoa(era))
		w.WriteHeader(f.Status)
		return
	}
	time.Sleep(f.Delay)
	var a answer
	if call == "kv-watch" {
		a = s.awaitEvents(r)
	} else {
		a = s.execute(call, r, txn)
	}
	if f.DropResponse || a.cut {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.Itoa(a.era))
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body) // fails if the client has closed the connection
}

// answer is the answer to a call.
type answer struct {
	status int
	body   any  // encoded as JSON
	era    int  // in which the call was executed
	cut    bool // close the connection without a response
}

// execute runs a call.
func (s *Store) execute(call string, r *http.Request, t txn) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, body := s.executeLocked(call, r, t)
	return answer{status: status, body: body, era: s.era}
}

// executeLocked runs a call and returns the status and the JSON body of its answer. The
// caller holds mu.
func (s *Store) executeLocked(call string, r *http.Request, t txn) (int, any) {
	switch call {
	case "kv-key":
		key := r.URL.Query().Get("key")
		if it, ok := s.items[key]; ok {
			return http.StatusOK, s.encodeItem(key, it)
		}
		return http.StatusNotFound, nil
	case "kv-range":
		list := []any{}
		for key, it := range s.items {
			if strings.HasPrefix(key, r.URL.Query().Get("prefix")) {
				list = append(list, s.encodeItem(key, it))
			}
		}
		return http.StatusOK, map[string]any{"items": list, "hasMore": false, "currentRev": s.rev}
	case "kv-lease":
		s.rev++
		s.leases[s.rev] = lease{t.ttl, time.Now().Add(t.ttl)}
		return http.StatusOK, map[string]any{"lease": s.rev, "ttl_time": t.TTL}
	case "kv-keep", "kv-lease-end":
		return s.renewOrEndLease(call, r)
	case "kv-txn":
		return s.applyTxn(t)
	}
	return http.StatusBadRequest, nil
}

// eventsAfter returns the writes and removals under the requested prefix after the
// requested revision. A revision that the store does not have, because it was lost by a
// restoration and has not been given out again, is answered like one that was dropped
// from the history. The caller holds mu.
func (s *Store) eventsAfter(r *http.Request) (int, any) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	prefix := r.URL.Query().Get("prefix")
	if after < s.droppedRev || after > s.rev {
		return http.StatusGone, nil
	}
	events := []any{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && it.rev > after {
			events = append(events, s.encodeItem(key, it))
		}
	}
	for key, rev := range s.removed {
		if _, exists := s.items[key]; !exists && strings.HasPrefix(key, prefix) && rev > after {
			events = append(events, map[string]any{"key": key, "rev": rev, "deleted": true})
		}
	}
	return http.StatusOK, map[string]any{"events": events, "currentRev": s.rev}
}

// awaitEvents answers a watch as soon as it has an event, or without events after the
// waiting time that the client asked for (waitMs). If the store is restored meanwhile,
// the watch is cut, or answered with 410 Gone if its revision was lost.
func (s *Store) awaitEvents(r *http.Request) answer {
	ms, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	startEra := 0
	for {
		s.mu.Lock()
		changed := s.changed
		a := answer{era: s.era}
		a.status, a.body = s.eventsAfter(r)
		s.mu.Unlock()
		if startEra == 0 {
			startEra = a.era
		}
		a.cut = a.era != startEra && a.status == http.StatusOK
		if page, ok := a.body.(map[string]any); a.cut || !ok || len(page["events"].([]any)) > 0 {
			return a
		}
		select {
		case <-changed:
		case <-timer.C:
			return a
		case <-r.Context().Done():
			return a
		}
	}
}

// encodeItem returns the JSON form of an item. The creation revision that it states is
// that of the last write.
func (s *Store) encodeItem(key string, it item) map[string]any {
	return map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(it.value)), "rev": it.rev, "createdAt": it.rev, "lease": it.lease, "currentRev": s.rev}
}

// renewOrEndLease executes kv-keep and kv-lease-end. The caller holds mu.
func (s *Store) renewOrEndLease(call string, r *http.Request) (int, any) {
	id, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	l, known := s.leases[id]
	if !known {
		return http.StatusNotFound, nil
	}
	if call == "kv-lease-end" {
		s.removeLease(id)
		return http.StatusOK, nil
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	return http.StatusOK, map[string]any{"ttl_time": l.ttl.String()}
}

// txn is the body of a POST call: a transaction, or the time to live of a new lease.
type txn struct {
	Expect []struct {
		Key string
		Rev int
	}
	Writes []struct {
		Key, Value string
		Lease      int
	}
	Remove    []string
	TTL       string `json:"ttl_time"`
	ttl       time.Duration
	malformed bool
}

// decodeTxn decodes the body of a POST call. It marks a body that is not valid as
// malformed, and returns an empty txn for other calls.
func decodeTxn(r *http.Request) txn {
	var t txn
	if r.Method != http.MethodPost || r.ContentLength == 0 {
		return t
	}
	err := json.NewDecoder(r.Body).Decode(&t)
	if err == nil && t.TTL != "" {
		t.ttl, err = time.ParseDuration(t.TTL)
	}
	t.malformed = err != nil
	return t
}

// applyTxn executes a transaction if every expected revision is the current one and
// every lease of a write exists. The caller holds mu.
func (s *Store) applyTxn(t txn) (int, any) {
	if t.malformed {
		return http.StatusBadRequest, nil
	}
	for _, e := range t.Expect {
		if s.items[e.Key].rev != e.Rev {
			return http.StatusPreconditionFailed, map[string]any{"items": []any{}}
		}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, w := range t.Writes {
		value, err := base64.StdEncoding.DecodeString(w.Value)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		s.put(w.Key, item{value: string(value), lease: w.Lease})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"rev": s.rev}
}
