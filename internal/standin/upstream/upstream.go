// Package upstream is the test double of an upstream. It runs as a separate
// process and implements the upstream's side of the protocol of docs/design.md,
// section 6: a dispatcher fence, grants with fences, and a lease on its own
// monotonic clock, all checked when a request starts and again before its
// effect.
//
// When the lease lapses, all grants are dropped. Without this, requests that
// were buffered while the process was frozen would run after the next renewal,
// although their units may have a new owner.
//
// Everything that a checker needs is written to the history before the response
// is sent.
package upstream

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Server is one run of an upstream.
type Server struct {
	cfg    Config
	boot   fleet.BootID
	began  time.Time // origin of the stamps
	server *http1.Server

	mu      sync.Mutex
	control Control
	warmth  warmth
	faults  faults
	history history
	load    loadLog
	running int
	// runningBy counts the running requests by the dispatcher fence they came with.
	runningBy map[fleet.Fence]int
	draining  bool
	conns     map[string]bool // remote addresses that have paid for their connection
	rng       *rand.Rand
}

// Config describes an upstream.
type Config struct {
	Name                string
	Service             fleet.ServiceID
	Zone                fleet.ZoneID
	Addr                string // "IP:port"
	Advertise           string // address in the instance list; empty: the one listened on
	Slots, ColdSlots    int
	WarmTime            time.Duration // of work, until all slots bear load
	ServiceTime         time.Duration
	StraggleProbability float64
	StraggleTime        time.Duration
	ConnectTime         time.Duration // extra time of the first request on a connection
	MaxConns            int
	Unfenced            bool // accepts every command and request in time
	ReportLag           time.Duration
	ReportWrong         bool
	History             io.Writer // nil: none
	List                string    // address of the instance list; empty: not registered
	DrainTime           time.Duration
	Secrets             []string // caller keys, or common parts of them, that must not arrive
	Seed                uint64
}

// maxKnownConns bounds the memory for connections that have been closed since.
const maxKnownConns = 4096

// Start listens and serves.
func Start(cfg Config) (*Server, error) {
	if cfg.Slots < 1 || cfg.ColdSlots < 1 || cfg.ColdSlots > cfg.Slots {
		return nil, errors.Errorf("slots %d, cold slots %d: want 1 <= cold slots <= slots", cfg.Slots, cfg.ColdSlots)
	}
	now := time.Now()
	s := &Server{
		cfg: cfg, began: now, boot: fleet.BootID(cfg.Name + "-" + strconv.FormatInt(now.UnixNano(), 36)),
		control:   NewControl(cfg.Unfenced),
		warmth:    warmth{slots: cfg.Slots, cold: cfg.ColdSlots, warmTime: cfg.WarmTime},
		runningBy: make(map[fleet.Fence]int),
		history:   history{w: cfg.History}, conns: make(map[string]bool),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/{kind}", s.serveControl)
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("GET /-/health", s.serveHealth)
	mux.HandleFunc("GET /-/load", s.serveLoad)
	// The mux would redirect requests whose path is not in canonical form.
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		s.serveRequest(w, r)
	})
	var err error
	s.server, err = http1.Listen(http1.ServerConfig{Addr: cfg.Addr, Handler: handler, MaxConns: cfg.MaxConns})
	return s, err
}

// Addr returns the address that the upstream listens on.
func (s *Server) Addr() string { return s.server.Addr() }

// Boot returns the boot id of this run.
func (s *Server) Boot() fleet.BootID { return s.boot }

// Run registers the upstream until ctx ends, and then drains it.
func (s *Server) Run(ctx context.Context) error {
	sampling := make(chan struct{})
	defer close(sampling)
	go s.sampleLoad(sampling)
	stop := s.register(ctx)
	<-ctx.Done()
	defer stop()
	// The router needs time to move the keys before requests are shed.
	time.Sleep(s.cfg.DrainTime)
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	bounded, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.server.Shutdown(bounded)
}

// Close stops at once.
func (s *Server) Close() { s.server.Close() }

// connect takes the time of a new connection.
func (s *Server) connect(remote string) {
	s.mu.Lock()
	known := s.conns[remote]
	if !known {
		if len(s.conns) >= maxKnownConns {
			clear(s.conns)
		}
		s.conns[remote] = true
	}
	s.mu.Unlock()
	if !known {
		time.Sleep(s.cfg.ConnectTime)
	}
}

// stamp reads the upstream's own clock.
func (s *Server) stamp() dispatch.Stamp { return dispatch.Stamp(time.Since(s.began)) }
