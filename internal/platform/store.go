// Package platform is a client of the platform that the router runs on: the
// key-value store, which holds all durable state, and the instance list.
//
// A record is stored in an envelope, which identifies the write of the record
// (write id, by, at) and the last few writes that it builds on. A writer whose
// answer was lost reads the record back and finds its write id there, even if
// other writers have replaced the value since.
//
// Invariants:
//
//   - Every call has a deadline. A connection that has not answered by then is
//     closed, and the next call uses a new one.
//   - Swap reports success, a conflict or no effect only if responses of the store
//     prove it. Any other result is an UnknownError.
//   - A write is repeated only with the same write id and expected revision, so
//     that the compare-and-swap of the store lets it take effect at most once.
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

// Keys of the records of the router.
const (
	KeyCatalogue  = "parsley/catalogue"
	KeyAssignment = "parsley/assignment"
)

const (
	// MaxWait is the maximum wait of Changes. It is below the 30 s after which http1
	// closes an idle connection, because nbhttp leaves that deadline set during a
	// request.
	MaxWait = 20 * time.Second

	dialTimeout = 300 * time.Millisecond // below minTimeout, so that a failed dial is known not to have sent anything
	maxConns    = 64

	minReadBackPause = 20 * time.Millisecond  // before the second read-back of Swap; doubled each time
	maxReadBackPause = 500 * time.Millisecond // limits the call rate of a Swap that waits for the end of an outage
)

// Store is a client of the key-value store. It is safe for concurrent use.
type Store struct {
	calls   *http1.Pool
	watches *http1.Pool // separate from calls, so that a call without a response does not end the watches
	timeout adaptiveTimeout

	mu     sync.Mutex
	latest map[string]Record // latest record of each key that was read or written, without its value
}

// Changes is the result of a read.
type Changes struct {
	Revision fleet.Revision // of the latest write to any key of the store
	Records  []Record       // latest record of each changed key, by revision
}

// NewStore returns a client of the store at addr ("IP:port").
func NewStore(client *http1.Client, addr string) *Store {
	cfg := http1.PoolConfig{MaxConns: maxConns, DialTimeout: dialTimeout}
	return &Store{calls: client.NewPool(addr, cfg), watches: client.NewPool(addr, cfg), latest: make(map[string]Record)}
}

// Close closes the connections to the store.
func (s *Store) Close() {
	s.calls.Close()
	s.watches.Close()
}

// Changes returns the records with the given key prefix that were written after
// the given revision. If there are none, it waits for one for the shorter of wait
// and MaxWait, and then returns no records. The error is a *ThrottledError, a
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
		return Changes{}, asUnavailableError(err)
	}
	c, err := decodeChanges(res.Body)
	if err == nil && c.Revision < after {
		err = errors.Errorf("store is at revision %d, below the known %d", c.Revision, after)
	}
	if err != nil {
		return Changes{}, &UnavailableError{Addr: pool.Addr(), Err: errors.Wrap(err, "changes")}
	}
	for _, r := range c.Records {
		s.cacheRecord(r)
	}
	return c, nil
}

// read sends a read request and repeats it once if the connection was lost before
// the timeout: the store closes idle connections, possibly while a request is on
// its way.
func (s *Store) read(ctx context.Context, pool *http1.Pool, wait time.Duration, req *http1.Request) (*http1.Response, error) {
	for retry := true; ; retry = false {
		sent := time.Now()
		res, err := call(ctx, pool, wait+s.timeout.get(), req)
		if err == nil {
			s.timeout.recordAnswer(time.Since(sent), wait)
			return res, nil
		}
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			s.timeout.recordTimeout()
		}
		var lost *http1.LostError
		if !retry || !errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return nil, err
		}
	}
}

// Swap replaces the value of key if the key is at revision expect, and returns the
// new revision. If expect is 0, the key must not exist. The value is stored in an
// envelope with a unique write id, by and now.
//
// If an answer is lost, Swap reads the key back until it knows the outcome or ctx
// ends. The error is a *ConflictError, *ThrottledError, *RejectedError or
// *UnavailableError if the write has no effect, or else an *UnknownError.
func (s *Store) Swap(ctx context.Context, key string, expect fleet.Revision, value []byte, by string, now time.Time) (fleet.Revision, error) {
	record := Record{Key: key, Value: value, WriteID: rand.Text(), By: by, At: now, Base: s.writeHistory(key, expect)}
	w := &swap{store: s, record: record, expect: expect, body: encodeEnvelope(&record)}
	rev, err := w.run(ctx)
	if err == nil {
		record.Revision = rev
		s.cacheRecord(record)
	}
	return rev, err
}

// cacheRecord keeps the write ids of the record for the envelope of the next write.
func (s *Store) cacheRecord(r Record) {
	r.Value = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision >= s.latest[r.Key].Revision {
		s.latest[r.Key] = r
	}
}

// writeHistory returns the known writes of the key up to revision expect. The
// history of a new key consists of revision 0.
func (s *Store) writeHistory(key string, expect fleet.Revision) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.latest[key]
	if !ok || expect == 0 || r.Revision != expect || r.Deleted {
		return []Write{{Revision: expect}}
	}
	history := append([]Write{{Revision: expect, ID: r.WriteID, By: r.By}}, r.Base...)
	return history[:min(len(history), maxHistory)]
}

func formatRevision(r fleet.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// adaptiveTimeout adapts the timeout of calls to the response time of the store, so
// that a slow store can still be used, while an unresponsive connection is noticed
// early if the store is fast.
type adaptiveTimeout struct {
	mu      sync.Mutex
	current time.Duration // 0 means minTimeout
}

const (
	// minTimeout allows a second read within the authority TTL of 1 s.
	minTimeout = 400 * time.Millisecond
	maxTimeout = 5 * time.Second
)

func (t *adaptiveTimeout) get() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.current, minTimeout)
}

func (t *adaptiveTimeout) recordTimeout() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = min(2*max(t.current, minTimeout), maxTimeout)
}

// recordAnswer adapts the timeout to the time that an answer took. A watch that
// ended before its wait says nothing about the speed of the store.
func (t *adaptiveTimeout) recordAnswer(elapsed, wait time.Duration) {
	if elapsed < wait {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = min(2*(elapsed-wait), maxTimeout)
}
