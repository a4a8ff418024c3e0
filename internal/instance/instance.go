// Package instance joins the decision tables and the I/O packages into one
// running instance of the router.
//
// A request enters at Serve (serve.go), or at ServeHTTP (forward.go) if another
// instance received it, is decided by the tables of packages route, limit and
// dispatch, and leaves through package upstream (dispatcher.go). The tables are
// guarded by one mutex and never block; every call to the store, to another
// instance or to an upstream runs outside of it. What an instance knows of the
// durable state is a snapshot that is replaced as a whole (records.go).
package instance

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/caller"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/metrics"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Instance is one running instance.
type Instance struct {
	cfg     settings.Serve
	self    assignment.Member
	secret  peer.Secret
	started time.Time
	log     hclog.Logger
	metrics *metrics.Metrics

	http      *http1.Client
	store     *platform.Store
	list      *platform.List
	peers     *peer.Client
	upstreams *upstream.Client

	// ctx ends when every request has ended and the instance stops.
	ctx    context.Context
	cancel context.CancelFunc

	current   atomic.Pointer[snapshot]
	learning  sync.Mutex // orders changes of current
	fetching  sync.Mutex
	polling   sync.Map       // peer address -> true while a poll runs
	takeovers sync.Map       // limit id -> true while former homes are asked
	storeRead fleet.Revision // used by runStore only
	pokeStore chan struct{}
	pokePolls chan struct{}

	history

	// mu guards everything below.
	mu            sync.Mutex
	auth          *authority.Table
	until         time.Time // see authorityEnd
	members       *memberTable
	listed        []platform.Listed
	storeAnswered time.Time
	phase         peer.Phase
	home          *limit.Home
	homes         *homeTable
	homesChecked  time.Time
	holder        *limit.Holder
	waits         map[fleet.LimitID]chan struct{} // closed when a call for tokens ends
	dispatch      *dispatch.Table
	news          bool                 // the planner should poll this instance
	detailed      map[string]time.Time // peer address -> last poll for details
	terms         map[dutyKey]term
	warmth        map[fleet.UpstreamID]dispatch.Warmth // last reported by any dispatcher
	pending       map[fleet.RequestID]*pendingJob
	attempts      map[attemptKey]context.CancelFunc
	pools         map[string]*http1.Pool
	// connected is the assignment whose instances and upstreams may have connections.
	connected *assignment.Assignment
	outSince  time.Time // when this instance learned that it is out of service
	pins      map[fleet.ServiceID][]time.Time
	swaps     map[fleet.ServiceID]time.Time
	revisions revisionClock
	changed   chan struct{} // closed when current changes
	observed  time.Time
}

// tokenTTL is how long an instance may use tokens that it drew from a home. Holders
// return unused tokens after 150 ms. After the loss of a home the next one grants
// nothing of a small burst for this long.
const tokenTTL = 300 * time.Millisecond

// New returns an instance that is not running yet.
func New(cfg settings.Serve, log hclog.Logger) (*Instance, error) {
	client, err := http1.NewClient()
	if err != nil {
		return nil, err
	}
	self := assignment.Member{
		ID: cfg.Instance, Boot: fleet.BootID(rand.Text()), Zone: cfg.Zone,
		Address: cfg.AdvertisePeer, HTTP: cfg.AdvertiseForward,
	}
	ctx, cancel := context.WithCancel(context.Background())
	home := limit.NewHome(tokenTTL)
	n := &Instance{
		cfg: cfg, self: self, secret: peer.Secret(cfg.FleetSecret), started: time.Now(),
		log: log, metrics: metrics.New(),
		http: client, store: platform.NewStore(client, cfg.Store), list: platform.NewList(client, cfg.List),
		peers: peer.NewClient(peer.Secret(cfg.FleetSecret)), upstreams: upstream.New(client),
		ctx: ctx, cancel: cancel,
		pokeStore: make(chan struct{}, 1), pokePolls: make(chan struct{}, 1),
		auth: authority.New(self.Run(), cfg.AuthorityTTL), members: newMemberTable(self.ID, self.Boot), phase: peer.Serving,
		home: home, homes: newHomeTable(cfg.Instance, home), holder: limit.NewHolder(),
		waits: map[fleet.LimitID]chan struct{}{}, dispatch: dispatch.New(dispatch.Config{Instance: cfg.Instance}),
		detailed: map[string]time.Time{}, terms: map[dutyKey]term{}, warmth: map[fleet.UpstreamID]dispatch.Warmth{}, pending: map[fleet.RequestID]*pendingJob{}, attempts: map[attemptKey]context.CancelFunc{}, pools: map[string]*http1.Pool{}, connected: &assignment.Assignment{},
		pins: map[fleet.ServiceID][]time.Time{}, swaps: map[fleet.ServiceID]time.Time{}, changed: make(chan struct{}),
	}
	n.current.Store(emptySnapshot())
	return n, nil
}

func (n *Instance) snapshot() *snapshot { return n.current.Load() }

// poke makes the store be read and the peers be polled at once.
func (n *Instance) poke() {
	for _, c := range []chan struct{}{n.pokeStore, n.pokePolls} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// servers are the listening ends of an instance.
type servers struct {
	caller, forward, operator *http1.Server
	peer                      *peer.Server
}

// Run serves until ctx ends, then leaves the fleet gracefully: it hands over its
// duties, cuts no request, and returns within the shutdown timeout.
func (n *Instance) Run(ctx context.Context) error {
	defer n.close()
	srv, err := n.listen()
	if err != nil {
		return err
	}
	defer srv.close()
	var g run.Group
	for _, loop := range []func(context.Context) error{n.runStore, n.runPolls, n.runList, n.runPlanner, n.runTick} {
		loopCtx, cancel := context.WithCancel(n.ctx)
		g.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	stopped := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return n.leave(srv)
		case <-stopped:
			return nil
		}
	}, func(error) { close(stopped) })
	n.log.Info("serving", "instance", n.self.ID, "zone", n.self.Zone, "boot", n.self.Boot,
		"callers", srv.caller.Addr(), "peers", srv.peer.Addr(), "forward", srv.forward.Addr(), "operators", srv.operator.Addr())
	return g.Run()
}

func (n *Instance) listen() (*servers, error) {
	srv := &servers{}
	limits := n.cfg.Limits
	var err error
	if srv.peer, err = peer.Listen(n.cfg.PeerListen, n.secret, n); err != nil {
		return nil, err
	}
	if srv.forward, err = http1.Listen(http1.ServerConfig{Addr: n.cfg.ForwardListen, Handler: n, MaxBody: limits.MaxBody}); err != nil {
		srv.close()
		return nil, err
	}
	if srv.operator, err = http1.Listen(http1.ServerConfig{Addr: n.cfg.OperatorListen, Handler: n.operatorHandler()}); err != nil {
		srv.close()
		return nil, err
	}
	srv.caller, err = http1.Listen(http1.ServerConfig{
		Addr: n.cfg.CallerListen, Handler: caller.Handler(n, n, caller.Limits{MaxHeader: limits.MaxHeader, MaxBody: limits.MaxBody}),
		// The handler refuses a body above the limit with a reason; the server only
		// bounds how much it reads.
		MaxBody: 2 * limits.MaxBody, MaxConns: limits.MaxConns, ReadTimeout: limits.ReadTimeout,
	})
	if err != nil {
		srv.close()
		return nil, err
	}
	return srv, nil
}

func (n *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", operator.Handler(operators{n}, string(n.cfg.OperatorToken)))
	mux.Handle("/metrics", n.metrics.Handler())
	mux.Handle("/-/", caller.HealthHandler(n))
	return mux
}

func (s *servers) close() {
	for _, srv := range []*http1.Server{s.caller, s.forward, s.operator} {
		if srv != nil {
			srv.Close()
		}
	}
	if s.peer != nil {
		s.peer.Close()
	}
}

func (n *Instance) close() {
	n.cancel()
	n.peers.Close()
	n.http.Close()
}

const (
	// balancerGrace is how long an instance goes on accepting callers after its
	// readiness check has begun to fail.
	balancerGrace = time.Second
	leavePoll     = 20 * time.Millisecond
)

// leave ends the instance gracefully.
func (n *Instance) leave(srv *servers) error {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.ShutdownTimeout)
	defer cancel()
	n.log.Info("leaving: waiting for duties to move and requests to end")
	n.mu.Lock()
	n.phase = peer.Draining
	n.mu.Unlock()
	srv.caller.Drain()
	sleep(ctx, balancerGrace)
	if err := srv.caller.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "requests of callers did not end in time")
	}
	n.log.Info("leaving: requests of callers have ended")
	for {
		left := n.remaining()
		if left == "" {
			break
		}
		if ctx.Err() != nil {
			return errors.New("duties were not taken over in time: " + left)
		}
		sleep(ctx, leavePoll)
	}
	n.log.Info("leaving: duties have moved")
	if err := srv.forward.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "forwarded requests did not end in time")
	}
	n.log.Info("left")
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// remaining says which duties or requests this instance still has, or nothing.
func (n *Instance) remaining() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	for _, u := range s.assignment.Upstreams {
		if u.Dispatcher == n.self.ID {
			return "it dispatches for " + string(u.ID)
		}
	}
	if m, ok := s.member(n.self.ID); ok && m.Boot == n.self.Boot {
		return "it is in the member list"
	}
	if len(n.pending) > 0 {
		return strconv.Itoa(len(n.pending)) + " forwarded requests run"
	}
	return ""
}

// Live reports whether the process works at all.
func (n *Instance) Live() error { return nil }

// Ready reports why a balancer should send no requests here.
func (n *Instance) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase != peer.Serving {
		return errors.New("leaving")
	}
	if !n.holds(time.Now()) {
		return errors.New("no authority")
	}
	if o, out := n.outage(); out {
		return errors.Errorf("%s %s is out of service", o.Kind, o.Name)
	}
	if len(n.snapshot().catalogue.Entries) == 0 {
		return errors.New("no catalogue entries")
	}
	return nil
}

// Poll answers another instance's heartbeat.
func (n *Instance) Poll(_ context.Context, q peer.PollRequest) peer.PollAnswer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.asked(now, q)
	if q.PollBack {
		go n.poll(n.ctx, q.From.Address, false)
	}
	known := n.auth.Known()
	if !known.Covers(q.Known) {
		go n.fetch(n.ctx, q.From.Address)
	}
	a := peer.PollAnswer{
		From: n.self.ID, Boot: n.self.Boot, Phase: n.phase, Known: known, StoreAge: -1, Details: q.Details,
	}
	if q.Details {
		a.Heard, a.Reports = n.members.heard(now), n.dispatch.Reports(now)
	}
	if !n.storeAnswered.IsZero() {
		a.StoreAge = now.Sub(n.storeAnswered)
	}
	return a
}

// Records gives a peer what it does not know yet.
func (n *Instance) Records(_ context.Context, q peer.RecordsRequest) peer.RecordsAnswer {
	s := n.snapshot()
	var a peer.RecordsAnswer
	if s.known.Catalogue > q.Known.Catalogue {
		a.CatalogueRevision, a.Catalogue = s.known.Catalogue, s.catalogueRaw
	}
	if s.known.Assignment > q.Known.Assignment {
		a.AssignmentRevision, a.Assignment = s.known.Assignment, s.assignmentRaw
	}
	return a
}

// event records something that the fleet did or suffered.
func (n *Instance) event(now time.Time, kind, detail string) {
	n.events.add(now, occurrence{kind: kind, detail: detail})
	n.log.Info(kind, "detail", detail)
}

func (n *Instance) dispatchEvent(e dispatch.Event) {
	n.events.add(time.Now(), occurrence{kind: "upstream " + string(e.Upstream) + " " + e.Kind, detail: e.Detail})
	if e.Kind == "lost" || e.Kind == "granted" {
		n.news = true
	}
	if e.Kind == "granted" || e.Kind == "released" {
		n.log.Debug("dispatch", "upstream", e.Upstream, "event", e.Kind, "detail", e.Detail)
		return
	}
	n.log.Info("dispatch", "upstream", e.Upstream, "event", e.Kind, "detail", e.Detail)
}

// observeInterval bounds the cost of measuring states that change slowly.
const observeInterval = 250 * time.Millisecond

// observe updates the gauges. The caller holds mu.
func (n *Instance) observe(now time.Time) {
	if now.Sub(n.observed) < observeInterval {
		return
	}
	n.observed = now
	n.metrics.AuthorityLeft(n.auth.Until().Sub(now))
	n.metrics.Upstreams(n.dispatch.Reports(now))
	n.metrics.Members(n.members.heardCount(now))
	if left, ok := n.dispatch.LeaseLeft(now); ok {
		n.metrics.LeaseLeft(left)
	}
	n.settleRevisions(now)
}

// settleRevisions notes which revisions have come into force. The caller holds mu.
func (n *Instance) settleRevisions(now time.Time) {
	for _, took := range n.revisions.settle(now, func(k authority.Known) bool { return n.auth.InForce(now, k) }) {
		n.metrics.InForceAfter(took)
	}
}
