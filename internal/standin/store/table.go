package store

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// revision is the number of a write, counted from 1 across all keys.
type revision uint64

// table holds the keys and leases. Its callers pass the time and serialize access.
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
	ttl       time.Duration
	expiresAt time.Time
	keys      map[string]bool
}

func newTable() *table {
	return &table{entries: make(map[string]entry), leases: make(map[leaseID]*lease)}
}

// currentRevision returns the revision of the key, or 0 if the key does not exist.
func (t *table) currentRevision(key string) revision {
	if e, ok := t.entries[key]; ok && !e.deleted {
		return e.revision
	}
	return 0
}

// put stores value if the key is at revision expect, and attaches the key to the lease
// id, which must exist. With an empty id the key is attached to no lease. If the
// revision differs, put returns the key's revision and false.
func (t *table) put(key string, expect revision, value []byte, id leaseID) (rev revision, ok bool) {
	if t.currentRevision(key) != expect {
		return t.currentRevision(key), false
	}
	t.detach(key)
	if id != "" {
		t.leases[id].keys[key] = true
	}
	t.revision++
	t.entries[key] = entry{key: key, value: value, revision: t.revision, lease: id}
	return t.revision, true
}

// detach removes the key from the lease that it is attached to.
func (t *table) detach(key string) {
	if l := t.leases[t.entries[key].lease]; l != nil {
		delete(l.keys, key)
	}
}

// changes returns the entries with the key prefix whose revision is greater than
// after, in the order of their revisions. With after 0 it omits the tombstones,
// because the reader knows no keys yet.
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
	t.leases[id] = &lease{ttl: ttl, expiresAt: now.Add(ttl), keys: make(map[string]bool)}
	return id
}

// renew restarts the TTL of a lease. It returns false if the lease does not exist,
// such as one that has ended.
func (t *table) renew(now time.Time, id leaseID) bool {
	l, ok := t.leases[id]
	if ok {
		l.expiresAt = now.Add(l.ttl)
	}
	return ok
}

// endLease deletes a lease and its keys. The deletion of each key gets a revision of
// its own. endLease returns false if the lease does not exist.
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

// expire ends the leases whose TTL has passed at now and reports whether that deleted
// any keys.
func (t *table) expire(now time.Time) (changed bool) {
	before := t.revision
	for id, l := range t.leases {
		if !now.Before(l.expiresAt) {
			t.endLease(id)
		}
	}
	return t.revision != before
}
