// Package store is a test double of the platform's key-value store and instance list.
// It implements the protocol of docs/design.md, section 12, and keeps all data in
// memory, so that a restart loses it.
//
// Calls beyond that protocol:
//
//	PUT    /v1/instances        adds or replaces an entry of the instance list, as JSON
//	DELETE /v1/instances?name=  removes an entry of the instance list
//	GET    /stats               returns counters
//	POST   /faults?mode=ok|down|slow|lose-answers&delay-ms=&for-ms=
//
// Faults and metered rates apply to the key-value store only, not to the instance
// list, /stats and /faults. A change of the instance list becomes visible after a lag.
//
// GET /v1/changes returns a deleted key as an entry with an empty value and
// "deleted":true, unless the reader asks for all entries (after is 0).
package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Config configures a store. Zero values select the defaults.
type Config struct {
	Listen          string        // "IP:port"; default 127.0.0.1:0
	WritesPerSecond int           // default 400
	ReadsPerSecond  int           // default 2000
	Lag             time.Duration // lag of the instance list; default 2 s, negative: no lag
}

// Defaults of Config.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
	DefaultLag    = 2 * time.Second
)

const (
	maxValueBytes = 1 << 20
	// maxWatchWait is shorter than the 60 s after which the server closes a
	// connection on which no further request arrives.
	maxWatchWait       = 30 * time.Second
	leaseCheckInterval = 10 * time.Millisecond
)

// Mode is the way in which the store fails.
type Mode string

// Modes of faults.
const (
	ModeOK          Mode = "ok"
	ModeDown        Mode = "down"         // connections are closed without an answer; calls have no effect
	ModeSlow        Mode = "slow"         // calls are delayed before they take effect
	ModeLoseAnswers Mode = "lose-answers" // writes take effect, then their connections are closed without an answer
)

// Fault is a failure of the key-value store, or with ModeOK the end of one.
type Fault struct {
	Mode     Mode
	Delay    time.Duration // for ModeSlow
	Duration time.Duration // how long the fault lasts; 0: until the next fault is set
}

// Server is a running store.
type Server struct {
	api  *http1.Server
	stop chan struct{}
	done chan struct{}

	mu         sync.Mutex
	table      *table
	instances  *laggedList
	stats      stats
	changed    chan struct{} // closed and replaced at each change of the table or the fault
	faultUntil time.Time     // zero: until the fault is replaced
}

// Start starts a store.
func Start(cfg Config) (*Server, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.WritesPerSecond == 0 {
		cfg.WritesPerSecond = DefaultWrites
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReads
	}
	if cfg.Lag == 0 {
		cfg.Lag = DefaultLag
	}
	s := &Server{
		stop: make(chan struct{}), done: make(chan struct{}),
		table: newTable(), instances: newLaggedList(cfg.Lag), changed: make(chan struct{}),
		stats: stats{writes: newMeter(cfg.WritesPerSecond), reads: newMeter(cfg.ReadsPerSecond), fault: Fault{Mode: ModeOK}},
	}
	var err error
	if s.api, err = http1.Listen(http1.ServerConfig{Addr: cfg.Listen, Handler: s.handler()}); err != nil {
		return nil, errors.Wrap(err, "start store")
	}
	go s.expireLeases()
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Server) Addr() string { return s.api.Addr() }

// Close stops the store.
func (s *Server) Close() {
	select {
	case <-s.stop:
		return
	default:
		close(s.stop)
	}
	<-s.done
	s.api.Close()
}

func (s *Server) expireLeases() {
	defer close(s.done)
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.mu.Lock()
			if s.table.expire(now) {
				s.wakeWatches()
			}
			s.mu.Unlock()
		}
	}
}

// SetFault replaces the current fault. ModeDown ends the waiting watches.
func (s *Server) SetFault(now time.Time, f Fault) error {
	switch f.Mode {
	case ModeOK, ModeDown, ModeSlow, ModeLoseAnswers:
	default:
		return errors.Errorf("mode %q, want ok, down, slow or lose-answers", f.Mode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.fault, s.faultUntil = f, time.Time{}
	if f.Duration > 0 {
		s.faultUntil = now.Add(f.Duration)
	}
	s.wakeWatches()
	return nil
}

// currentFault returns the current fault, or ModeOK after its end. The caller holds
// s.mu.
func (s *Server) currentFault(now time.Time) Fault {
	if !s.faultUntil.IsZero() && !now.Before(s.faultUntil) {
		s.stats.fault, s.faultUntil = Fault{Mode: ModeOK}, time.Time{}
	}
	return s.stats.fault
}

// wakeWatches makes the waiting watches check for changes and faults. The caller
// holds s.mu.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// callKind selects the meter that counts and limits a call.
type callKind int

const (
	kindRead callKind = iota
	kindWrite
)

// errNoAnswer makes the server close the connection without an answer.
var errNoAnswer = errors.New("no answer")

// admitCall applies the current fault and the meter to a call before the call takes
// effect.
func (s *Server) admitCall(ctx context.Context, k callKind) error {
	s.mu.Lock()
	f := s.currentFault(time.Now())
	s.mu.Unlock()
	if f.Mode == ModeSlow {
		if err := sleep(ctx, f.Delay); err != nil {
			return errNoAnswer
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.currentFault(now).Mode == ModeDown {
		s.stats.refusedWhileDown++
		return errNoAnswer
	}
	m := &s.stats.reads
	if k == kindWrite {
		m = &s.stats.writes
	}
	if !m.admit(now) {
		return &statusError{status: http.StatusTooManyRequests, detail: "over the metered rate"}
	}
	if s.table.expire(now) {
		s.wakeWatches()
	}
	return nil
}

// runWrite runs apply under the lock. With ModeLoseAnswers it discards the answer.
func (s *Server) runWrite(ctx context.Context, apply func(now time.Time) (answer, error)) (answer, error) {
	if err := s.admitCall(ctx, kindWrite); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.table.revision
	res, err := apply(now)
	if s.table.revision != before {
		s.wakeWatches()
	}
	if s.currentFault(now).Mode == ModeLoseAnswers {
		s.stats.lostAnswers++
		return nil, errNoAnswer
	}
	return res, err
}

// watch returns the changes after a revision. If there are none, it waits for the next
// change for up to wait.
func (s *Server) watch(ctx context.Context, prefix string, after revision, wait time.Duration) (answer, error) {
	if err := s.admitCall(ctx, kindRead); err != nil {
		return nil, err
	}
	timer := time.NewTimer(min(wait, maxWatchWait))
	defer timer.Stop()
	for timedOut := wait <= 0; ; {
		s.mu.Lock()
		a := changesAnswer{revision: s.table.revision, entries: s.table.changes(prefix, after)}
		changed, down := s.changed, s.currentFault(time.Now()).Mode == ModeDown
		if !down && !timedOut && len(a.entries) == 0 {
			s.stats.watchesWaiting++
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, errNoAnswer
		case timedOut || len(a.entries) > 0:
			return a, nil
		}
		var err error
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			err = errNoAnswer
		case <-s.stop:
			err = errNoAnswer
		}
		s.mu.Lock()
		s.stats.watchesWaiting--
		s.mu.Unlock()
		if err != nil {
			return nil, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
