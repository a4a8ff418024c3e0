package store

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// revision numbers the writes to all keys, from 1.
type revision uint64

// table holds the keys and leases. It has no clock and no lock.
type table struct {
	revision  revision // of the last write
	entries   map[string]entry
	leases    map[leaseID]*lease
	nextLease uint64
}

// entry is the latest state of a key. A deleted key stays as a tombstone.
type entry struct {
	key      string
	value    []byte
	revision revision
	deleted  bool
	lease    leaseID
}

type leaseID string

type lease struct {
	ttl  time.Duration
	ends time.Time
	keys map[string]bool
}

func newTable() *table {
	return &table{entries: make(map[string]entry), leases: make(map[leaseID]*lease)}
}

// current returns the revision of the key, 0 if it does not exist.
func (t *table) current(key string) revision {
	if e, ok := t.entries[key]; ok && !e.deleted {
		return e.revision
	}
	return 0
}

// put stores value if the key is at revision expect. The lease, if any, must
// exist. A write without a lease detaches the key from its old one.
func (t *table) put(key string, expect revision, value []byte, id leaseID) (rev revision, ok bool) {
	if t.current(key) != expect {
		return t.current(key), false
	}
	t.detach(key)
	if id != "" {
		t.leases[id].keys[key] = true
	}
	t.revision++
	t.entries[key] = entry{key: key, value: value, revision: t.revision, lease: id}
	return t.revision, true
}

func (t *table) detach(key string) {
	if l := t.leases[t.entries[key].lease]; l != nil {
		delete(l.keys, key)
	}
}

// changes returns the entries under prefix that are later than after, in
// revision order. A reader from the start needs no tombstones.
func (t *table) changes(prefix string, after revision) []entry {
	var out []entry
	for key, e := range t.entries {
		if e.revision > after && strings.HasPrefix(key, prefix) && !(e.deleted && after == 0) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b entry) int { return cmp.Compare(a.revision, b.revision) })
	return out
}

func (t *table) addLease(now time.Time, ttl time.Duration) leaseID {
	t.nextLease++
	id := leaseID(strconv.FormatUint(t.nextLease, 10))
	t.leases[id] = &lease{ttl: ttl, ends: now.Add(ttl), keys: make(map[string]bool)}
	return id
}

// renew starts the lease's TTL anew. An ended lease cannot be renewed.
func (t *table) renew(now time.Time, id leaseID) bool {
	l, ok := t.leases[id]
	if ok {
		l.ends = now.Add(l.ttl)
	}
	return ok
}

// endLease deletes the lease and its keys, each with a revision of its own.
func (t *table) endLease(id leaseID) bool {
	l, ok := t.leases[id]
	if !ok {
		return false
	}
	delete(t.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		t.revision++
		t.entries[key] = entry{key: key, revision: t.revision, deleted: true}
	}
	return true
}

// expire ends the leases whose time has passed and reports whether keys changed.
func (t *table) expire(now time.Time) (changed bool) {
	before := t.revision
	for id, l := range t.leases {
		if !now.Before(l.ends) {
			t.endLease(id)
		}
	}
	return t.revision != before
}
