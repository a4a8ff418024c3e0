// Package baseline is the simplest router to compare with. Each instance hashes
// the routing key over the upstreams in the platform's list, connects to all of
// them, and enforces its static part of every limit. There are no leases, no
// grants and no dispatchers; only idempotent requests are retried, once. Its
// upstreams check no fencing tokens.
//
// The catalogue is a file that is read again when it changes.
package baseline

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Config describes an instance.
type Config struct {
	Name      fleet.InstanceID
	Zone      fleet.ZoneID
	Listen    string // "IP:port"
	List      string // address of the instance list
	Catalogue string // file
	Instances int    // among which limits are split
}

const (
	refreshEvery = 500 * time.Millisecond
	dialTimeout  = 200 * time.Millisecond
	// upstreamConns divides the 120 connections of an upstream among 12 instances.
	upstreamConns = 10
)

// Server is a running instance.
type Server struct {
	cfg    Config
	server *http1.Server
	client *http1.Client
	list   *platform.List
	stop   context.CancelFunc
	done   chan struct{}

	state    atomic.Pointer[state]
	pools    map[string]*http1.Pool // written by refresh only
	modified time.Time
	nextID   atomic.Int64
}

// state is what requests are decided by. It is replaced as a whole.
type state struct {
	catalogue *catalogue.Catalogue
	accounts  map[fleet.CallerKeyHash]fleet.AccountID
	limiters  map[fleet.LimitID]*rate.Limiter
	upstreams []load.Target // in service
	pools     map[string]*http1.Pool
	out       bool // this instance or its zone is out of service
}

// Start starts an instance. The first catalogue must be readable.
func Start(cfg Config) (*Server, error) {
	if cfg.Instances < 1 {
		return nil, errors.Errorf("instances %d: want 1 or more", cfg.Instances)
	}
	client, err := http1.NewClient()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg, client: client, list: platform.NewList(client, cfg.List), stop: stop, done: make(chan struct{}),
		pools: make(map[string]*http1.Pool),
	}
	s.state.Store(&state{})
	if err := s.readCatalogue(); err != nil {
		stop()
		client.Close()
		return nil, err
	}
	if s.server, err = http1.Listen(http1.ServerConfig{Addr: cfg.Listen, Handler: http.HandlerFunc(s.serve)}); err != nil {
		stop()
		client.Close()
		return nil, err
	}
	go s.refresh(ctx)
	return s, nil
}

// Addr returns the address that the instance listens on.
func (s *Server) Addr() string { return s.server.Addr() }

// Close stops at once.
func (s *Server) Close() {
	s.stop()
	<-s.done
	s.server.Close()
	s.client.Close()
}

// refresh reads the list and the catalogue until ctx ends.
func (s *Server) refresh(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(refreshEvery)
	defer tick.Stop()
	for {
		// A file or list that cannot be read leaves the last one in use.
		_ = s.readCatalogue()
		s.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (s *Server) readCatalogue() error {
	info, err := os.Stat(s.cfg.Catalogue)
	if err != nil {
		return errors.Wrap(err, "catalogue")
	}
	if info.ModTime().Equal(s.modified) {
		return nil
	}
	data, err := os.ReadFile(s.cfg.Catalogue)
	if err != nil {
		return errors.Wrap(err, "catalogue")
	}
	c, err := catalogue.Parse(s.cfg.Catalogue, data)
	if err != nil {
		return err
	}
	s.modified = info.ModTime()
	old := s.state.Load()
	next := &state{
		catalogue: c, accounts: make(map[fleet.CallerKeyHash]fleet.AccountID), limiters: make(map[fleet.LimitID]*rate.Limiter),
		upstreams: old.upstreams, pools: old.pools,
	}
	for _, k := range c.CallerKeys {
		next.accounts[k.Hash] = k.Account
	}
	for _, a := range c.Accounts {
		s.keepLimiter(old, next, fleet.AccountLimit(a.ID), a.Limit)
	}
	for _, e := range c.Entries {
		s.keepLimiter(old, next, fleet.EntryLimit(e.ID), e.Limit)
	}
	_, out := c.Out(catalogue.OutageZone, string(s.cfg.Zone))
	_, self := c.Out(catalogue.OutageInstance, string(s.cfg.Name))
	next.out = out || self
	s.state.Store(next)
	return nil
}

// keepLimiter keeps the level of a limiter whose limit did not change.
func (s *Server) keepLimiter(old, next *state, id fleet.LimitID, l fleet.Limit) {
	if l.Unlimited() {
		return
	}
	part := rate.Limit(float64(l.Rate) / float64(s.cfg.Instances))
	burst := max(1, int(l.Burst)/s.cfg.Instances)
	if o := old.limiters[id]; o != nil && o.Limit() == part && o.Burst() == burst {
		next.limiters[id] = o
		return
	}
	next.limiters[id] = rate.NewLimiter(part, burst)
}

func (s *Server) readList(ctx context.Context) {
	listed, err := s.list.Fetch(ctx)
	if err != nil {
		return
	}
	next := *s.state.Load()
	next.upstreams, next.pools = nil, make(map[string]*http1.Pool)
	for _, l := range listed {
		if l.Kind != platform.KindUpstream || l.State != platform.StateLive {
			continue
		}
		if _, out := next.catalogue.Out(catalogue.OutageZone, string(l.Zone)); out {
			continue
		}
		if _, out := next.catalogue.Out(catalogue.OutageUpstream, l.Name); out {
			continue
		}
		if s.pools[l.Address] == nil {
			s.pools[l.Address] = s.client.NewPool(l.Address, http1.PoolConfig{MaxConns: upstreamConns, DialTimeout: dialTimeout})
		}
		next.upstreams = append(next.upstreams, load.Target{Name: l.Name, Addr: l.Address, Service: l.Service})
		next.pools[l.Address] = s.pools[l.Address]
	}
	s.state.Store(&next)
}
