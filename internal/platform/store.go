// Package platform is the client of the platform that the router runs on: the
// key-value store, which holds all durable state, and the instance list.
//
// A record in the store is an envelope around the value. The envelope names its
// write (write id, by, at) and the last few writes that it builds on. A writer
// whose answer was lost reads the record back and finds its write id there, even
// if another writer has built on it since.
//
// Invariants:
//
//   - Every call has a deadline. A connection that has not answered by then is
//     closed, and the next call uses a new one.
//   - Swap reports success, a conflict or no effect only if the store's answers
//     prove it. Everything else is an UnknownError.
//   - A write is repeated only under the same write id and expected revision, so
//     that the store's compare-and-swap lets it take effect at most once.
package platform

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Keys of the records that the router keeps.
const (
	KeyCatalogue  = "parsley/catalogue"
	KeyAssignment = "parsley/assignment"
)

const (
	// MaxWait bounds the wait of Changes. It is below the 30 s after which
	// http1 closes an idle connection, because nbhttp leaves that deadline set
	// during a request.
	MaxWait = 20 * time.Second

	dialTimeout = 300 * time.Millisecond // below minTimeout, so that a failed dial is known as not sent
	maxConns    = 64

	minPause = 20 * time.Millisecond  // before the second read-back of Swap; doubles
	maxPause = 500 * time.Millisecond // bounds the calls of a waiting Swap during an outage
)

// Store is a client of the key-value store. It is safe for concurrent use.
type Store struct {
	calls   *http1.Pool
	watches *http1.Pool // apart, so that a silent call does not end the watches
	timeout timeout

	mu   sync.Mutex
	seen map[string]Record // latest record read or written per key, without its value
}

// Changes is the answer to a read.
type Changes struct {
	Revision fleet.Revision // of the store's last write to any key
	Records  []Record       // the latest record of each changed key, in revision order
}

// NewStore returns a client of the store at addr ("IP:port").
func NewStore(client *http1.Client, addr string) *Store {
	cfg := http1.PoolConfig{MaxConns: maxConns, DialTimeout: dialTimeout}
	return &Store{calls: client.NewPool(addr, cfg), watches: client.NewPool(addr, cfg), seen: make(map[string]Record)}
}

// Close closes the connections.
func (s *Store) Close() {
	s.calls.Close()
	s.watches.Close()
}

// Changes returns the records under prefix that were written after the given
// revision. With a wait it returns as soon as there is one, or empty after the
// wait, which is cut to MaxWait. The error is a *ThrottledError, a
// *RejectedError or an *UnavailableError.
func (s *Store) Changes(ctx context.Context, prefix string, after fleet.Revision, wait time.Duration) (Changes, error) {
	wait = min(wait, MaxWait)
	query := url.Values{"prefix": {prefix}, "after": {formatRevision(after)}}
	pool := s.calls
	if wait > 0 {
		query.Set("wait-ms", strconv.FormatInt(wait.Milliseconds(), 10))
		pool = s.watches
	}
	req := &http1.Request{Method: http.MethodGet, Target: "/v1/changes?" + query.Encode()}
	res, err := s.read(ctx, pool, wait, req)
	if err != nil {
		return Changes{}, asUnavailable(err)
	}
	c, err := decodeChanges(res.Body)
	if err == nil && c.Revision < after {
		err = errors.Errorf("store is at revision %d, below the known %d", c.Revision, after)
	}
	if err != nil {
		return Changes{}, &UnavailableError{Addr: pool.Addr(), Err: errors.Wrap(err, "changes")}
	}
	for _, r := range c.Records {
		s.note(r)
	}
	return c, nil
}

// read repeats once what failed without a timeout: the store closes idle
// connections, and a request may cross that.
func (s *Store) read(ctx context.Context, pool *http1.Pool, wait time.Duration, req *http1.Request) (*http1.Response, error) {
	for again := true; ; again = false {
		sent := time.Now()
		res, err := call(ctx, pool, wait+s.timeout.get(), req)
		if err == nil {
			s.timeout.answered(time.Since(sent), wait)
			return res, nil
		}
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			s.timeout.expired()
		}
		var lost *http1.LostError
		if !again || !errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return nil, err
		}
	}
}

// Swap replaces the value of key if the key is at revision expect, where 0 means
// that it must not exist, and returns the new revision. The value is wrapped in
// an envelope with a unique write id, by and at.
//
// If an answer is lost, Swap reads back until it knows the outcome or ctx ends.
// The error is a *ConflictError, *ThrottledError, *RejectedError or
// *UnavailableError, which mean that the write has no effect, or an
// *UnknownError.
func (s *Store) Swap(ctx context.Context, key string, expect fleet.Revision, value []byte, by string, now time.Time) (fleet.Revision, error) {
	record := Record{Key: key, Value: value, WriteID: rand.Text(), By: by, At: now, Base: s.base(key, expect)}
	w := &swap{store: s, record: record, expect: expect, body: encodeEnvelope(&record)}
	rev, err := w.run(ctx)
	if err == nil {
		record.Revision = rev
		s.note(record)
	}
	return rev, err
}

// note remembers the writes of the record, for the envelope of the next one.
func (s *Store) note(r Record) {
	r.Value = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision >= s.seen[r.Key].Revision {
		s.seen[r.Key] = r
	}
}

// base returns the known history of the key up to revision expect. The creation
// of a key is based on revision 0.
func (s *Store) base(key string, expect fleet.Revision) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.seen[key]
	if !ok || expect == 0 || r.Revision != expect || r.Deleted {
		return []Write{{Revision: expect}}
	}
	base := append([]Write{{Revision: expect, ID: r.WriteID, By: r.By}}, r.Base...)
	return base[:min(len(base), maxBase)]
}

func formatRevision(r fleet.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// timeout adapts the deadline of a call, so that a slow store can still be used
// and a silent connection costs little while the store is fast.
type timeout struct {
	mu      sync.Mutex
	current time.Duration // 0 means minTimeout
}

const (
	// minTimeout leaves time for a second read within the authority TTL of 1 s.
	minTimeout = 400 * time.Millisecond
	maxTimeout = 5 * time.Second
)

func (t *timeout) get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.current, minTimeout)
}

func (t *timeout) expired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = min(2*max(t.current, minTimeout), maxTimeout)
}

// answered takes the time of an answer. A watch that ended early says nothing
// about the store's speed.
func (t *timeout) answered(elapsed, wait time.Duration) {
	if elapsed < wait {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = min(2*(elapsed-wait), maxTimeout)
}
