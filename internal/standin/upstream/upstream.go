// Package upstream is a test double of an upstream. It implements the upstream's side
// of the protocol in docs/design.md, section 6: a dispatcher fence, grants with fences,
// and a lease on the upstream's own monotonic clock. It checks the grant and the lease
// when a request starts and again before the request takes effect, and the dispatcher
// fence at the start.
//
// When the lease expires, all grants are dropped. Without this, requests that were
// buffered while the process was suspended would run after the next renewal, although
// their units may have a new owner.
//
// Every event that the checks of a run need is written to the history before the
// response is sent.
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

// Server is a running upstream.
type Server struct {
	cfg       Config
	boot      fleet.BootID
	startedAt time.Time // zero point of clock
	server    *http1.Server

	mu          sync.Mutex
	control     Control
	warmUp      warmUp
	faults      faultState
	history     history
	loadHistory loadHistory
	running     int
	// runningBy counts the running requests by their dispatcher fence.
	runningBy  map[fleet.Fence]int
	draining   bool
	knownConns map[string]bool // remote addresses whose connection has been delayed by ConnectTime
	rng        *rand.Rand
}

// Config configures an upstream.
type Config struct {
	Name                string
	Service             fleet.ServiceID
	Zone                fleet.ZoneID
	Addr                string        // "IP:port"
	Advertise           string        // address in the instance list; empty: the listen address
	Slots, ColdSlots    int           // concurrent requests that a warm or a cold upstream can run
	WarmTime            time.Duration // busy time until a cold upstream can use all slots
	ServiceTime         time.Duration // mean
	StraggleProbability float64       // from 0 to 1, that a request takes StraggleTime instead of ServiceTime
	StraggleTime        time.Duration
	ConnectTime         time.Duration // delay of the first request on a connection
	MaxConns            int
	Unfenced            bool          // accept every control call, and requests without a check of their fences
	ReportLag           time.Duration // age of the load reports
	ReportWrong         bool          // report the opposite of the actual load
	History             io.Writer     // nil: no history
	List                string        // address of the instance list; empty: do not register
	DrainTime           time.Duration // how long requests are still accepted after the end of Run's context
	Secrets             []string      // caller keys, or common parts of them, that must not reach the upstream
	Seed                uint64        // of the random service times
}

// maxKnownConns limits the memory for the addresses of closed connections.
const maxKnownConns = 4096

// Start starts an upstream that listens on cfg.Addr.
func Start(cfg Config) (*Server, error) {
	if cfg.Slots < 1 || cfg.ColdSlots < 1 || cfg.ColdSlots > cfg.Slots {
		return nil, errors.Errorf("slots %d, cold slots %d: want 1 <= cold slots <= slots", cfg.Slots, cfg.ColdSlots)
	}
	now := time.Now()
	s := &Server{
		cfg: cfg, startedAt: now, boot: fleet.BootID(cfg.Name + "-" + strconv.FormatInt(now.UnixNano(), 36)),
		control:   NewControl(cfg.Unfenced),
		warmUp:    warmUp{slots: cfg.Slots, coldSlots: cfg.ColdSlots, warmTime: cfg.WarmTime},
		runningBy: make(map[fleet.Fence]int),
		history:   history{w: cfg.History}, knownConns: make(map[string]bool),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/{kind}", s.serveControl)
	mux.HandleFunc("POST /faults", s.serveFaults)
	mux.HandleFunc("GET /-/health", s.serveHealth)
	mux.HandleFunc("GET /-/load", s.serveLoad)
	// ServeMux would redirect requests whose path is not in canonical form, so it
	// gets only those that match one of its patterns.
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

// Boot returns the boot id, which is unique to this start of the upstream.
func (s *Server) Boot() fleet.BootID { return s.boot }

// Run registers the upstream and waits until ctx ends. It then drains the upstream and
// stops the server.
func (s *Server) Run(ctx context.Context) error {
	stopSampling := make(chan struct{})
	defer close(stopSampling)
	go s.sampleLoad(stopSampling)
	deregister := s.register(ctx)
	<-ctx.Done()
	defer deregister()
	// The router needs this time to move the keys away before requests are refused.
	time.Sleep(s.cfg.DrainTime)
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return s.server.Shutdown(shutdownCtx)
}

// Close stops the upstream without draining it.
func (s *Server) Close() { s.server.Close() }

// delayNewConn blocks for ConnectTime on the first request from a remote address.
func (s *Server) delayNewConn(remote string) {
	s.mu.Lock()
	known := s.knownConns[remote]
	if !known {
		if len(s.knownConns) >= maxKnownConns {
			clear(s.knownConns)
		}
		s.knownConns[remote] = true
	}
	s.mu.Unlock()
	if !known {
		time.Sleep(s.cfg.ConnectTime)
	}
}

// clock returns the time on the upstream's own monotonic clock.
func (s *Server) clock() dispatch.Stamp { return dispatch.Stamp(time.Since(s.startedAt)) }
