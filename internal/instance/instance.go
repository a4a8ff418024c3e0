// Package instance assembles the decision tables and the I/O packages into a
// running instance of the router.
//
// A request enters at Serve (serve.go), or at ServeHTTP (forward.go) if another
// instance forwarded it. The tables of packages route, limit and dispatch decide
// what happens to it, and package upstream sends it (dispatcher.go). One mutex
// guards the tables, whose methods never block; calls to the store, to other
// instances and to upstreams are made without holding it. The durable state that
// an instance knows is an immutable snapshot, which is replaced as a whole
// (records.go).
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

// Instance is one running instance of the router. It serves callers, operators
// and other instances.
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

	// ctx is cancelled when all requests have ended and the instance stops.
	ctx    context.Context
	cancel context.CancelFunc

	current          atomic.Pointer[snapshot]
	snapshotUpdate   sync.Mutex // serializes replacements of current
	fetchLock        sync.Mutex
	activePolls      sync.Map       // peer address -> true while a poll is in progress
	activeTakeovers  sync.Map       // limit id -> true while its former homes are being asked
	storeRevision    fleet.Revision // store revision of the last read; used by runStore only
	triggerStoreRead chan struct{}
	triggerPolls     chan struct{}

	history

	// mu guards all fields below.
	mu                 sync.Mutex
	authority          *authority.Table
	cachedAuthorityEnd time.Time // see authorityEnd
	members            *memberTable
	platformList       []platform.Listed
	storeAnswered      time.Time
	phase              peer.Phase
	home               *limit.Home
	homes              *homeTable
	homesCheckedAt     time.Time
	holder             *limit.Holder
	tokenCalls         map[fleet.LimitID]chan struct{} // closed when the call for tokens of the limit returns
	dispatch           *dispatch.Table
	plannerPollDue     bool                 // a dispatch event requires the planner to poll this instance
	detailsPolledAt    map[string]time.Time // peer address -> time of the last poll that asked for details
	terms              map[termKey]term
	knownLimits        map[fleet.UpstreamID]dispatch.KnownLimit // last limit reported by any dispatcher
	pendingJobs        map[fleet.RequestID]*pendingJob
	attemptCancels     map[attemptKey]context.CancelFunc
	forwardPools       map[string]*http1.Pool
	// connectedAssignment is the assignment to whose instances and upstreams
	// connections may be open.
	connectedAssignment *assignment.Assignment
	outOfServiceSince   time.Time // when this instance learned of its outage; zero if in service
	pinTimes            map[fleet.ServiceID][]time.Time
	lastSwaps           map[fleet.ServiceID]time.Time
	revisions           revisionHistory
	snapshotChanged     chan struct{} // closed and replaced when current changes
	gaugesUpdatedAt     time.Time
}

// tokenTTL is how long tokens that an instance took from the home of a limit are
// valid. Holders return unused tokens after 150 ms. After a home is lost, its
// successor grants no tokens of a limit with a small burst for this long.
const tokenTTL = 300 * time.Millisecond

// New returns an instance that is not yet listening.
func New(cfg settings.Serve, log hclog.Logger) (*Instance, error) {
	client, err := http1.NewClient()
	if err != nil {
		return nil, err
	}
	self := assignment.Member{
		ID: cfg.Instance, Boot: fleet.BootID(rand.Text()), Zone: cfg.Zone,
		Address: cfg.AdvertisePeer, ForwardAddress: cfg.AdvertiseForward,
	}
	ctx, cancel := context.WithCancel(context.Background())
	home := limit.NewHome(tokenTTL)
	n := &Instance{
		cfg: cfg, self: self, secret: peer.Secret(cfg.FleetSecret), started: time.Now(),
		log: log, metrics: metrics.New(),
		http: client, store: platform.NewStore(client, cfg.Store), list: platform.NewList(client, cfg.List),
		peers: peer.NewClient(peer.Secret(cfg.FleetSecret)), upstreams: upstream.New(client),
		ctx: ctx, cancel: cancel,
		triggerStoreRead: make(chan struct{}, 1), triggerPolls: make(chan struct{}, 1),
		authority: authority.New(self.RunID(), cfg.AuthorityTTL), members: newMemberTable(self.ID, self.Boot), phase: peer.Serving,
		home: home, holder: limit.NewHolder(),
		tokenCalls: map[fleet.LimitID]chan struct{}{}, dispatch: dispatch.New(dispatch.Config{Instance: cfg.Instance}),
		detailsPolledAt: map[string]time.Time{}, terms: map[termKey]term{}, knownLimits: map[fleet.UpstreamID]dispatch.KnownLimit{}, pendingJobs: map[fleet.RequestID]*pendingJob{}, attemptCancels: map[attemptKey]context.CancelFunc{}, forwardPools: map[string]*http1.Pool{}, connectedAssignment: &assignment.Assignment{},
		pinTimes: map[fleet.ServiceID][]time.Time{}, lastSwaps: map[fleet.ServiceID]time.Time{}, snapshotChanged: make(chan struct{}),
	}
	n.current.Store(emptySnapshot())
	n.homes = newHomeTable(cfg.Instance, home, func(id fleet.LimitID) fleet.Limit {
		l, _ := n.snapshot().index.Limit(id)
		return l
	})
	return n, nil
}

func (n *Instance) snapshot() *snapshot { return n.current.Load() }

// refreshNow triggers an immediate read of the store and poll of the peers.
func (n *Instance) refreshNow() {
	for _, c := range []chan struct{}{n.triggerStoreRead, n.triggerPolls} {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// servers holds the listening servers of an instance.
type servers struct {
	caller, forward, operator *http1.Server
	peer                      *peer.Server
}

// Run serves until ctx ends and then shuts down gracefully: other instances take
// over its upstreams, no request is cut off, and Run returns within the shutdown
// timeout.
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
			return n.shutdown(srv)
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
		// The handler refuses a body above limits.MaxBody with a reason. The server's
		// own limit only bounds how much is read.
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
	mux.Handle("/", operator.Handler(operatorAPI{n}, string(n.cfg.OperatorToken)))
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
	// loadBalancerGrace is how long an instance still accepts requests of callers
	// after its readiness check has begun to fail, until load balancers notice.
	loadBalancerGrace = time.Second
	drainPollInterval = 20 * time.Millisecond
)

// shutdown drains the instance: it waits until the requests have ended and other
// instances have taken over the upstreams.
func (n *Instance) shutdown(srv *servers) error {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.ShutdownTimeout)
	defer cancel()
	n.log.Info("shutting down: waiting for requests to end and upstreams to be reassigned")
	n.mu.Lock()
	n.phase = peer.Draining
	n.mu.Unlock()
	srv.caller.Drain()
	sleep(ctx, loadBalancerGrace)
	if err := srv.caller.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "waiting for requests of callers to end")
	}
	n.log.Info("shutting down: all requests of callers have ended")
	for {
		remaining := n.remainingWork()
		if remaining == "" {
			break
		}
		if ctx.Err() != nil {
			return errors.New("shutdown timed out: " + remaining)
		}
		sleep(ctx, drainPollInterval)
	}
	n.log.Info("shutting down: upstreams are reassigned and the instance is not a member")
	if err := srv.forward.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "waiting for forwarded requests to end")
	}
	n.log.Info("shutdown complete")
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

// remainingWork describes an upstream, a membership or requests that still keep
// this instance from stopping. It returns "" if there are none.
func (n *Instance) remainingWork() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	for _, u := range s.assignment.Upstreams {
		if u.Dispatcher == n.self.ID {
			return "still the dispatcher of upstream " + string(u.ID)
		}
	}
	if m, ok := s.member(n.self.ID); ok && m.Boot == n.self.Boot {
		return "still in the member list"
	}
	if len(n.pendingJobs) > 0 {
		return strconv.Itoa(len(n.pendingJobs)) + " forwarded requests still running"
	}
	return ""
}

// Live always returns nil: an answer shows that the process is running.
func (n *Instance) Live() error { return nil }

// Ready returns the reason why a load balancer should send no requests to this
// instance, or nil.
func (n *Instance) Ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.phase != peer.Serving {
		return errors.New("leaving")
	}
	if !n.hasAuthority(time.Now()) {
		return errors.New("no authority")
	}
	if o, out := n.currentOutage(); out {
		return errors.Errorf("%s %s is out of service", o.Kind, o.Name)
	}
	if len(n.snapshot().catalogue.Entries) == 0 {
		return errors.New("no catalogue entries")
	}
	return nil
}

// Poll answers a poll (heartbeat) of another instance.
func (n *Instance) Poll(_ context.Context, q peer.PollRequest) peer.PollAnswer {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.recordPoll(now, q)
	if q.PollBack {
		go n.poll(n.ctx, q.From.Address, false)
	}
	applied := n.authority.Applied()
	if !applied.Covers(q.Known) {
		go n.fetchRecords(n.ctx, q.From.Address)
	}
	a := peer.PollAnswer{
		From: n.self.ID, Boot: n.self.Boot, Phase: n.phase, Known: applied, StoreAge: -1, Details: q.Details,
	}
	if q.Details {
		a.AnswerAges, a.Reports = n.members.answerAges(now), n.dispatch.Reports(now)
	}
	if !n.storeAnswered.IsZero() {
		a.StoreAge = now.Sub(n.storeAnswered)
	}
	return a
}

// Records returns the records that are newer than those that the peer knows.
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

// recordEvent adds an event to the history and logs it.
func (n *Instance) recordEvent(now time.Time, kind, detail string) {
	n.events.add(now, fleetEvent{kind: kind, detail: detail})
	n.log.Info(kind, "detail", detail)
}

func (n *Instance) recordDispatchEvent(e dispatch.Event) {
	n.events.add(time.Now(), fleetEvent{kind: "upstream " + string(e.Upstream) + " " + e.Kind, detail: e.Detail})
	if e.Kind == "lost" || e.Kind == "granted" {
		n.plannerPollDue = true
	}
	if e.Kind == "granted" || e.Kind == "released" {
		n.log.Debug("dispatch", "upstream", e.Upstream, "event", e.Kind, "detail", e.Detail)
		return
	}
	n.log.Info("dispatch", "upstream", e.Upstream, "event", e.Kind, "detail", e.Detail)
}

// gaugeInterval limits how often the gauges are computed, which is costly.
const gaugeInterval = 250 * time.Millisecond

// updateGauges sets the gauges if gaugeInterval has passed. The caller holds mu.
func (n *Instance) updateGauges(now time.Time) {
	if now.Sub(n.gaugesUpdatedAt) < gaugeInterval {
		return
	}
	n.gaugesUpdatedAt = now
	n.metrics.AuthorityLeft(n.authority.Until().Sub(now))
	n.metrics.Upstreams(n.dispatch.Reports(now))
	n.metrics.Members(n.members.aliveCount(now))
	if left, ok := n.dispatch.LeaseLeft(now); ok {
		n.metrics.LeaseLeft(left)
	}
	n.recordInForce(now)
}

// recordInForce records which revisions have come into force and reports to the
// metrics how long each took. The caller holds mu.
func (n *Instance) recordInForce(now time.Time) {
	for _, took := range n.revisions.takeInForce(now, func(k authority.Revisions) bool { return n.authority.InForce(now, k) }) {
		n.metrics.InForceAfter(took)
	}
}
