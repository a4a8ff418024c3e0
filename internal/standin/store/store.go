// Package store is the test double of the platform's key-value store and
// instance list. It keeps everything in memory and speaks the protocol of
// section 12 of the design. A restart loses all data.
//
// Further calls:
//
//	PUT    /v1/instances        one entry of the instance list as JSON
//	DELETE /v1/instances?name=  removes an entry
//	GET    /stats               counters
//	POST   /faults?mode=ok|down|slow|lose-answers&delay-ms=&for-ms=
//
// A fault applies to the key-value store, not to the instance list, /stats and
// /faults. The instance list is not metered. A change of the list becomes
// visible after a lag.
//
// A deleted key shows up in the changes as an entry with an empty value and
// "deleted":true, unless the reader asks for everything (after 0).
package store

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Config describes a store. Zero values mean the defaults.
type Config struct {
	Listen          string        // "IP:port"; default 127.0.0.1:0
	WritesPerSecond int           // default 400
	ReadsPerSecond  int           // default 2000
	Lag             time.Duration // of the instance list; default 2 s, negative: none
}

// Defaults of Config.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
	DefaultLag    = 2 * time.Second
)

const (
	maxValue = 1 << 20
	// maxWait is below the 60 s after which the server closes a connection
	// without a further request.
	maxWait      = 30 * time.Second
	expiryPeriod = 10 * time.Millisecond
)

// Mode says how the store fails.
type Mode string

// Modes of failure.
const (
	ModeOK          Mode = "ok"
	ModeDown        Mode = "down"         // calls are closed without an answer and have no effect
	ModeSlow        Mode = "slow"         // calls are delayed before they take effect
	ModeLoseAnswers Mode = "lose-answers" // writes take effect and are closed without an answer
)

// Fault is a way to fail.
type Fault struct {
	Mode  Mode
	Delay time.Duration // of ModeSlow
	For   time.Duration // 0: until the next fault is set
}

// Server is a running store.
type Server struct {
	http *http1.Server
	stop chan struct{}
	done chan struct{}

	mu         sync.Mutex
	table      *table
	instances  *instances
	stats      stats
	changed    chan struct{} // closed and replaced at each write and fault
	faultUntil time.Time     // zero: no end
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
		table: newTable(), instances: newInstances(cfg.Lag), changed: make(chan struct{}),
		stats: stats{writes: newMeter(cfg.WritesPerSecond), reads: newMeter(cfg.ReadsPerSecond), fault: Fault{Mode: ModeOK}},
	}
	var err error
	if s.http, err = http1.Listen(http1.ServerConfig{Addr: cfg.Listen, Handler: s.handler()}); err != nil {
		return nil, errors.Wrap(err, "start store")
	}
	go s.expireLeases()
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Server) Addr() string { return s.http.Addr() }

// Close stops the store.
func (s *Server) Close() {
	select {
	case <-s.stop:
		return
	default:
		close(s.stop)
	}
	<-s.done
	s.http.Close()
}

func (s *Server) expireLeases() {
	defer close(s.done)
	tick := time.NewTicker(expiryPeriod)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.mu.Lock()
			if s.table.expire(now) {
				s.notify()
			}
			s.mu.Unlock()
		}
	}
}

// SetFault replaces the current fault. Going down ends waiting watches.
func (s *Server) SetFault(now time.Time, f Fault) error {
	switch f.Mode {
	case ModeOK, ModeDown, ModeSlow, ModeLoseAnswers:
	default:
		return errors.Errorf("mode %q, want ok, down, slow or lose-answers", f.Mode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.fault, s.faultUntil = f, time.Time{}
	if f.For > 0 {
		s.faultUntil = now.Add(f.For)
	}
	s.notify()
	return nil
}

// fault returns the current fault. The caller holds the lock.
func (s *Server) fault(now time.Time) Fault {
	if !s.faultUntil.IsZero() && !now.Before(s.faultUntil) {
		s.stats.fault, s.faultUntil = Fault{Mode: ModeOK}, time.Time{}
	}
	return s.stats.fault
}

// notify wakes the watches. The caller holds the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// kind says which meter a call counts against.
type kind int

const (
	kindRead kind = iota
	kindWrite
)

// errNoAnswer makes the server close the connection instead of answering.
var errNoAnswer = errors.New("no answer")

// begin applies the fault and the meter to a call before it takes effect.
func (s *Server) begin(ctx context.Context, k kind) error {
	s.mu.Lock()
	f := s.fault(time.Now())
	s.mu.Unlock()
	if f.Mode == ModeSlow {
		if err := sleep(ctx, f.Delay); err != nil {
			return errNoAnswer
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.fault(now).Mode == ModeDown {
		s.stats.refused++
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
		s.notify()
	}
	return nil
}

// write runs f under the lock and loses its answer if the fault says so.
func (s *Server) write(ctx context.Context, f func(now time.Time) (answer, error)) (answer, error) {
	if err := s.begin(ctx, kindWrite); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := s.table.revision
	res, err := f(now)
	if s.table.revision != before {
		s.notify()
	}
	if s.fault(now).Mode == ModeLoseAnswers {
		s.stats.lostAnswers++
		return nil, errNoAnswer
	}
	return res, err
}

// watch returns the changes after a revision, and waits for one if there is none.
func (s *Server) watch(ctx context.Context, prefix string, after revision, wait time.Duration) (answer, error) {
	if err := s.begin(ctx, kindRead); err != nil {
		return nil, err
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for ended := wait <= 0; ; {
		s.mu.Lock()
		a := changes{revision: s.table.revision, entries: s.table.changes(prefix, after)}
		changed, down := s.changed, s.fault(time.Now()).Mode == ModeDown
		if !down && !ended && len(a.entries) == 0 {
			s.stats.watchesWaiting++
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, errNoAnswer
		case ended || len(a.entries) > 0:
			return a, nil
		}
		var err error
		select {
		case <-changed:
		case <-timer.C:
			ended = true
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
