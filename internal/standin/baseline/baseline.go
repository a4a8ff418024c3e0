// Package baseline implements a minimal router that serves as the baseline of
// comparisons. Each instance hashes the routing key over the upstreams in the
// platform's instance list, connects to all of them, and enforces an equal, static
// share of every limit. It has no leases, grants or dispatchers. It retries only
// idempotent requests, and those once. Its upstreams check no fencing tokens.
//
// The catalogue is a file that is read again when its modification time changes.
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

// Config configures an instance.
type Config struct {
	Name          fleet.InstanceID
	Zone          fleet.ZoneID
	Listen        string // "IP:port"
	ListAddr      string // address of the platform's instance list, "IP:port"
	CatalogueFile string // path of the catalogue file
	Instances     int    // number of instances among which limits are divided equally
}

const (
	// refreshInterval is the time between two reads of the instance list and of the
	// catalogue file.
	refreshInterval = 500 * time.Millisecond
	dialTimeout     = 200 * time.Millisecond
	// connsPerUpstream is the maximum number of connections of an instance to an
	// upstream. An upstream has 120 connections, divided among 12 instances.
	connsPerUpstream = 10
)

// Server is a running instance.
type Server struct {
	cfg    Config
	server *http1.Server
	client *http1.Client
	list   *platform.List
	stop   context.CancelFunc
	done   chan struct{}

	snapshot          atomic.Pointer[snapshot]
	pools             map[string]*http1.Pool // by address; used by refresh only
	catalogueModified time.Time
	nextID            atomic.Int64
}

// snapshot is the catalogue and the upstreams that requests are routed with. It is
// immutable: a refresh replaces it as a whole.
type snapshot struct {
	catalogue    *catalogue.Catalogue
	accounts     map[fleet.CallerKeyHash]fleet.AccountID
	limiters     map[fleet.LimitID]*rate.Limiter
	upstreams    []load.Target // those in service
	pools        map[string]*http1.Pool
	outOfService bool // whether this instance or its zone is out of service
}

// Start starts an instance. It fails if the catalogue file cannot be read and parsed.
func Start(cfg Config) (*Server, error) {
	if cfg.Instances < 1 {
		return nil, errors.Errorf("number of instances is %d, want at least 1", cfg.Instances)
	}
	client, err := http1.NewClient()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		cfg: cfg, client: client, list: platform.NewList(client, cfg.ListAddr), stop: stop, done: make(chan struct{}),
		pools: make(map[string]*http1.Pool),
	}
	s.snapshot.Store(&snapshot{})
	if err := s.reloadCatalogue(); err != nil {
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

// Addr returns the address that the instance listens on, "IP:port".
func (s *Server) Addr() string { return s.server.Addr() }

// Close stops the instance at once, without waiting for its requests.
func (s *Server) Close() {
	s.stop()
	<-s.done
	s.server.Close()
	s.client.Close()
}

// refresh reads the catalogue file and the instance list at regular intervals until ctx
// is cancelled.
func (s *Server) refresh(ctx context.Context) {
	defer close(s.done)
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		// After a failed read the last catalogue or list stays in use.
		_ = s.reloadCatalogue()
		s.reloadUpstreams(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// reloadCatalogue reads the catalogue file if its modification time has changed.
func (s *Server) reloadCatalogue() error {
	info, err := os.Stat(s.cfg.CatalogueFile)
	if err != nil {
		return errors.Wrap(err, "catalogue")
	}
	if info.ModTime().Equal(s.catalogueModified) {
		return nil
	}
	data, err := os.ReadFile(s.cfg.CatalogueFile)
	if err != nil {
		return errors.Wrap(err, "catalogue")
	}
	c, err := catalogue.Parse(s.cfg.CatalogueFile, data)
	if err != nil {
		return err
	}
	s.catalogueModified = info.ModTime()
	old := s.snapshot.Load()
	next := &snapshot{
		catalogue: c, accounts: make(map[fleet.CallerKeyHash]fleet.AccountID), limiters: make(map[fleet.LimitID]*rate.Limiter),
		upstreams: old.upstreams, pools: old.pools,
	}
	for _, k := range c.CallerKeys {
		next.accounts[k.Hash] = k.Account
	}
	for _, a := range c.Accounts {
		s.carryOverLimiter(old, next, fleet.AccountLimit(a.ID), a.Limit)
	}
	for _, e := range c.Entries {
		s.carryOverLimiter(old, next, fleet.EntryLimit(e.ID), e.Limit)
	}
	_, zoneOut := c.Out(catalogue.OutageZone, string(s.cfg.Zone))
	_, instanceOut := c.Out(catalogue.OutageInstance, string(s.cfg.Name))
	next.outOfService = zoneOut || instanceOut
	s.snapshot.Store(next)
	return nil
}

// carryOverLimiter puts the limiter of a limit into next. If the limit is unchanged it
// reuses the limiter of old, so that the token bucket keeps its level.
func (s *Server) carryOverLimiter(old, next *snapshot, id fleet.LimitID, l fleet.Limit) {
	if l.Unlimited() {
		return
	}
	instanceRate := rate.Limit(float64(l.Rate) / float64(s.cfg.Instances))
	burst := max(1, int(l.Burst)/s.cfg.Instances)
	if current := old.limiters[id]; current != nil && current.Limit() == instanceRate && current.Burst() == burst {
		next.limiters[id] = current
		return
	}
	next.limiters[id] = rate.NewLimiter(instanceRate, burst)
}

// reloadUpstreams fetches the instance list and replaces the upstreams in service.
func (s *Server) reloadUpstreams(ctx context.Context) {
	listed, err := s.list.Fetch(ctx)
	if err != nil {
		return
	}
	next := *s.snapshot.Load()
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
			s.pools[l.Address] = s.client.NewPool(l.Address, http1.PoolConfig{MaxConns: connsPerUpstream, DialTimeout: dialTimeout})
		}
		next.upstreams = append(next.upstreams, load.Target{Name: l.Name, Addr: l.Address, Service: l.Service})
		next.pools[l.Address] = s.pools[l.Address]
	}
	s.snapshot.Store(&next)
}
