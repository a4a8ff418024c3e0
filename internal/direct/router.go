package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// serverReadTimeout is how long a connection may be idle, unless the operators state an
	// idle timeout for callers.
	serverReadTimeout = 30 * time.Second
	// maxRecentMaps bounds the recent holder maps that are kept to compute changes for
	// replies.
	maxRecentMaps = 32
	// assumedInstances is the number of instances among which limits are divided as
	// long as neither the store nor the leader has provided one. A fleet that starts
	// for the first time receives no requests that early.
	assumedInstances = 16
	// gcPercent is the garbage collection target (GOGC). It trades CPU time, of which
	// an instance uses a tenth of its share, for memory, which is charged for by its
	// peak.
	gcPercent = 60
	// memoryLimitShare is the share of Settings.MaxMemory that is set as the runtime's
	// soft memory limit, near which the garbage collector runs more often.
	memoryLimitShare = 0.6
)

// Router is one instance of the fleet.
type Router struct {
	cfg      Settings
	platform Platform
	log      hclog.Logger
	metrics  *Metrics
	boot     fleet.BootID
	peers    *http1.Transport // connections to other instances

	ready         atomic.Bool
	shuttingDown  atomic.Bool
	operatorState atomic.Pointer[OperatorState]
	holderMap     atomic.Pointer[keyspace.Map]
	callers       atomic.Pointer[http1.Server] // nil before Run listens

	closedCallers closedCallers

	stopping       context.Context // ends shortly before requests in progress are cut off
	cancelStopping context.CancelFunc

	operatorReadRequests chan struct{} // requests syncOperator to read the complete operator state
	configured           chan struct{} // closed once there is a configuration

	mu           sync.Mutex // guards the fields below
	rng          *rand.Rand
	lastSettings Settings  // settings as last read
	stopAt       time.Time // when requests in progress are cut off; zero unless the instance shuts down

	// State for decisions on requests.
	upstreams        *balance.Table
	accounts         limiter[fleet.AccountID]
	upstreamLimits   limiter[balance.Run]           // those that upstreams name
	homeFailedAt     map[fleet.InstanceID]time.Time // last failure of homes to answer
	retryBudgets     map[fleet.ServiceID]*balance.RetryBudget
	splitter         *routes.Splitter
	admission        *admissionState
	instances        []fleet.Peer
	holderLoads      holderLoads
	evacuatedSince   map[fleet.ZoneID]time.Time // the earliest time at which the evacuation of a zone may have begun
	holderMapUpdated chan struct{}              // closed when holderMap changes

	// Age of this state.
	listedAt            time.Time // when the current list of upstreams was requested from the store
	operatorConfirmedAt time.Time // when operator was last known to be current
	storeAnsweredAt     time.Time // last successful call of the store
	storeFailingSince   time.Time // first failed call since then; zero if there is none
	listedDuringFailure time.Time // when the leader's first list since the last failed call was requested
	outageEndedAt       time.Time // end of the last store outage that this instance saw
	era                 fleet.Era // of the store, as far as this instance knows
	firstEra            fleet.Era // the first that this instance knew, if eraKnown
	eraKnown            bool
	restoredAt          time.Time // when this instance learned of the present era; zero if it knew no earlier one
	listDue             time.Time // when the list of upstreams has to be applied again, as it was adjusted; zero if it was not
	evacuationEndedAt   map[fleet.ZoneID]time.Time
	// evacuationsHeldUntil is when the evacuations in a restored store are up to date again.
	evacuationsHeldUntil time.Time

	invalidLoggedAt      map[entryKind]time.Time // last log lines about invalid entries in the store
	invalidPauseLoggedAt time.Time               // last log line about an invalid pause
	invalidLimitLoggedAt time.Time               // last log line about an invalid limit

	// Data for reports to the leader, and from its replies.
	leader        leaderInfo
	announced     leaderInfo // the last leader that has announced its election
	formerHeardAt time.Time  // last reply of another leader before the present one, or start
	acknowledged  acknowledgement
	requestedKeys map[fleet.ServiceID][]keyspace.Key // by callers since the last report
	demandReports demandReports
	// demandReportedAt is the time of the last report with demand.
	demandReportedAt    time.Time
	listReplica         listReplica
	listFromStore       bool          // the list of upstreams in use is not listReplica, but was read from the store or received from an earlier leader
	operatorSeqReceived uint64        // last version of the operator state received from the leader
	leaderRestorations  uint64        // in the leader's last reply
	limitLog            limitLog      // limits of upstreams, for the other instances
	limitSeqReceived    uint64        // last version of the leader's limitLog that this instance has
	newsReady           chan struct{} // closed when an upstream states that it leaves, or its limit has changed

	inFlightSeqReceived uint64 // last version of the leader's limits in flight that this instance has
	responseSizes       responseSizes
	// Roll-outs of versions.
	gate               *rollout.Gate
	collector          *rollout.Collector
	rolloutSeqReceived uint64 // version of the leader's directives that gate has
	urgentEvidence     bool   // that the leader has to get at once

	// Data for replies, if this instance leads.
	directives    []rollout.Directive // nil until known
	directivesSeq uint64              // counts the changes of directives
	leadership    *leadership         // nil unless this instance leads
	update        chan struct{}       // closed when there is an update for held reports
	leaderList    *leaderList
	recentMaps    map[keyspace.MapVersion]*keyspace.Map // base maps for the changes in replies
	operatorSeq   uint64                                // version of the operator state; counts its changes
	totalDemand   demandSum
}

// New returns an instance, to be started by Run.
func New(cfg Settings, platform Platform, m *Metrics, log hclog.Logger) *Router {
	now := time.Now()
	r := &Router{
		cfg: cfg, lastSettings: cfg, platform: platform, log: log, metrics: m,
		formerHeardAt:        now,
		boot:                 fleet.BootID(strconv.FormatInt(now.UnixMilli(), 36)),
		peers:                http1.NewTransport(http1.TransportConfig{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxBody: maxPeerBody, MaxIdlePerAddr: 2, CloseIdleOnError: true}),
		operatorReadRequests: make(chan struct{}, 1), configured: make(chan struct{}),
		leaderList: newLeaderList(), update: make(chan struct{}), recentMaps: make(map[keyspace.MapVersion]*keyspace.Map),
		homeFailedAt: make(map[fleet.InstanceID]time.Time), limitLog: newLimitLog(), responseSizes: make(responseSizes),
		retryBudgets: make(map[fleet.ServiceID]*balance.RetryBudget), holderMapUpdated: make(chan struct{}), newsReady: make(chan struct{}),
		requestedKeys:  make(map[fleet.ServiceID][]keyspace.Key),
		evacuatedSince: make(map[fleet.ZoneID]time.Time), evacuationEndedAt: make(map[fleet.ZoneID]time.Time), invalidLoggedAt: make(map[entryKind]time.Time),
		rng: rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
	}
	run := quota.Run{Instance: cfg.Instance, Boot: r.boot}
	r.accounts = newLimiter[fleet.AccountID](now, run, accountTolerance(cfg.Quota))
	r.upstreamLimits = newLimiter[balance.Run](now, run, upstreamTolerance)
	r.stopping, r.cancelStopping = context.WithCancel(context.Background())
	r.splitter = routes.NewSplitter(r.rng)
	r.admission = &admissionState{gate: admission.NewGate(now, r.rng), retries: make(map[string]*admission.Retries)}
	r.holderLoads = newHolderLoads(r.rng)
	r.gate, r.collector = rollout.NewGate(r.rng), rollout.NewCollector(r.boot)
	r.upstreams = balance.New(cfg.Instance, r.rng, r.warmUpLimits)
	r.accounts.name = func(id fleet.AccountID) string { return string(id) }
	r.accounts.tokenRequests.send, r.accounts.logFailure = r.requestTokensFromHome, r.logAccountHomeFailure
	r.upstreamLimits.name = runName
	r.upstreamLimits.request, r.upstreamLimits.logFailure = r.requestUpstreamToken, r.logUpstreamHomeFailure
	m.refreshGauges = r.updateGauges
	return r
}

// warmUpLimits returns how long upstreams of a service are cold after their start, and
// the rate at which all instances together may send requests to a cold one.
func (r *Router) warmUpLimits(id fleet.ServiceID) (time.Duration, fleet.PerSecond) {
	op := r.operatorState.Load()
	if op == nil || op.Table == nil {
		return 0, 0
	}
	s := op.Table.Services[id]
	return s.ColdFor, s.ColdRate
}

// Run serves requests until ctx ends and the shutdown is complete.
func (r *Router) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if r.cfg.MaxMemory > 0 {
		debug.SetMemoryLimit(int64(float64(r.cfg.MaxMemory) * memoryLimitShare))
	}
	r.log.Info("instance started", "instance", r.cfg.Instance, "boot", r.boot, "zone", r.cfg.Zone, "store", r.cfg.Store)
	bodies, smallBodies := requestBodyBudgets(r.cfg.MaxMemory)
	shares := descriptorShares(r.cfg.MaxDescriptors, r.cfg.MaxMemory)
	callers, err := http1.Listen(http1.ServerConfig{
		Addr: r.cfg.CallerListen, Handler: http.HandlerFunc(r.serve), ReadTimeout: serverReadTimeout,
		Limits: callerLimits(routes.CallerLimits{}), MinRate: minCallerRate, CheckHead: r.checkHead,
		MaxConns: shares.callers, MaxRequests: shares.requests,
		MaxBody: maxCallerBody, Bodies: bodies, SmallBodies: smallBodies, OnClosed: r.callerConnClosed,
	})
	if err != nil {
		return err
	}
	defer callers.Close()
	r.callers.Store(callers)
	probes := http1.NewBodyBudget(maxProbeBodies)
	servers := []http1.ServerConfig{
		{Addr: r.cfg.HealthListen, Handler: http.HandlerFunc(r.health), MaxBody: maxProbeBody, MaxConns: shares.probes, MaxRequests: maxProbeRequests, Bodies: probes, OnClosed: r.probeConnClosed},
		{Addr: r.cfg.PeerListen, Handler: http.HandlerFunc(r.servePeer), MaxBody: maxPeerBody, Bodies: http1.NewBodyBudget(maxPeerBodies), SmallBodies: http1.NewBodyBudget(maxSmallPeerBodies)},
	}
	if r.cfg.MetricsListen != "" {
		servers = append(servers, http1.ServerConfig{Addr: r.cfg.MetricsListen, Handler: refuseUnreceived(r.metrics.Handler()), MaxBody: maxProbeBody, MaxConns: shares.probes, MaxRequests: maxProbeRequests, Bodies: probes})
	}
	for _, cfg := range servers {
		cfg.ReadTimeout, cfg.Limits.HeadTimeout, cfg.MinRate = serverReadTimeout, defaultHeadTimeout, minCallerRate
		s, err := http1.Listen(cfg)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", cfg.Addr)
		}
		defer s.Close()
	}
	var g run.Group
	for _, loop := range []func(context.Context){r.syncOperator, r.syncUpstreams, r.leadOrFollow, r.closeIdleConnections, r.watchSettings, r.watchMemory} {
		loopCtx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { loop(loopCtx); return nil }, func(error) { cancel() })
	}
	stop, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		<-stop.Done()
		return r.shutdown(callers)
	}, func(error) { cancel() })
	return g.Run()
}

// callerConnClosed counts a closed connection of a caller, and logs it if requests on it
// had not been answered although the caller did not close it.
func (r *Router) callerConnClosed(cause http1.CloseCause, requests int) {
	r.metrics.closedConns.WithLabelValues(string(cause)).Inc()
	r.noteClosedCaller(time.Now(), cause)
	if requests > 0 && cause != http1.ClosedEvicted && cause != http1.ClosedByPeer {
		r.log.Warn("caller connection closed before its answers", "cause", string(cause), "requests", requests)
	}
}

const (
	// balancerDelay is the time until the platform's balancer sends no new connections
	// after the instance stops being ready: two checks at an interval of one second,
	// and a check in flight.
	balancerDelay = 2600 * time.Millisecond
	// exitMargin is the time between the end of the shutdown and SIGKILL. An instance
	// with 0.16 of a CPU core took more than 400 ms to exit. The platform does not
	// count requests that are cut off in the last sixth (1 s) of the grace time.
	exitMargin = 800 * time.Millisecond
	// stopAnswerTime is the time before the cut in which requests that wait get an answer.
	stopAnswerTime = 100 * time.Millisecond
	// maxCallerBody is the maximum size of a request body in bytes. The operators'
	// limit is 64 MiB.
	maxCallerBody = 64 << 20
	// maxRequestBodies is the memory in bytes of the bodies of all requests, and
	// maxSmallBodies that of the first parts of each: 14 KiB for each of 1,000 connections
	// on which bodies are incomplete.
	maxRequestBodies = 96 << 20
	maxSmallBodies   = 14 << 20
	// requestBodiesShare and smallBodiesShare bound them to shares of the memory limit. The
	// responses of upstreams have another 0.4. A body of the maximum size fits into 284 MiB.
	requestBodiesShare = 0.25
	smallBodiesShare   = 0.05
	// maxProbeBody is the maximum size in bytes of the body of a readiness check or a
	// metrics request, which need none, maxProbeBodies the memory of those of all requests
	// and of large heads, and maxProbeConns the number of connections for each.
	maxProbeBody   = 4 << 10
	maxProbeBodies = 4 << 20
	maxProbeConns  = 1000
)

// requestBodyBudgets returns the budgets for the bodies of callers' requests. maxMemory is
// the memory limit of the instance in bytes, 0 if unknown.
func requestBodyBudgets(maxMemory int64) (bodies, smallBodies *http1.BodyBudget) {
	size, small := int64(maxRequestBodies), int64(maxSmallBodies)
	if maxMemory > 0 {
		size = min(size, int64(float64(maxMemory)*requestBodiesShare))
		small = min(small, int64(float64(maxMemory)*smallBodiesShare))
	}
	return http1.NewBodyBudget(size), http1.NewBodyBudget(small)
}

// shutdown fails the readiness check, continues to serve until the balancer has stopped
// sending new connections, and returns after the last answer or shortly before SIGKILL.
func (r *Router) shutdown(callers *http1.Server) error {
	start := time.Now()
	r.shuttingDown.Store(true)
	r.ready.Store(false)
	r.mu.Lock()
	grace := r.cfg.ShutdownGrace
	r.stopAt = start.Add(grace - exitMargin)
	r.mu.Unlock()
	defer time.AfterFunc(grace-exitMargin-stopAnswerTime, r.cancelStopping).Stop()
	r.log.Info("instance shutting down", "grace", grace)
	callers.Drain()
	r.resign()
	time.Sleep(min(balancerDelay, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-exitMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	r.log.Info("instance stopped", "after", time.Since(start), "cut", err != nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// health serves the readiness check of the platform's balancer. An instance is ready
// once it can decide on requests.
func (r *Router) health(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.platform.Protocol.HealthPath() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !r.ready.Load() || r.shuttingDown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// closeIdleConnections closes connections whose idle time has expired.
func (r *Router) closeIdleConnections(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.platform.UpstreamTransport.CloseExpired(now)
			r.peers.CloseExpired(now)
		}
	}
}

// setHolderMap applies a newer holder map, and wakes the requests and reports that wait
// for it.
func (r *Router) setHolderMap(m *keyspace.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.holderMap.Load()
	if cur != nil && !cur.Version.Less(m.Version) {
		return
	}
	if cur != nil && cur.Version.Term > 0 { // a recorded map has term 0 and may differ between instances
		if len(r.recentMaps) >= maxRecentMaps {
			clear(r.recentMaps)
		}
		r.recentMaps[cur.Version] = cur
	}
	r.holderMap.Store(m)
	close(r.holderMapUpdated)
	r.holderMapUpdated = make(chan struct{})
	r.wakeReports()
}

// wakeReports ends the wait of all reports that are being held. The caller must hold
// mu.
func (r *Router) wakeReports() {
	close(r.update)
	r.update = make(chan struct{})
}

// nextUpdate returns a channel that is closed when there is an update for other
// instances.
func (r *Router) nextUpdate() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.update
}

// requestOperatorRead makes syncOperator read the complete operator state from the
// store.
func (r *Router) requestOperatorRead() {
	select {
	case r.operatorReadRequests <- struct{}{}:
	default:
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// holderMapChanged returns a channel that is closed when the holder map changes.
func (r *Router) holderMapChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holderMapUpdated
}

// instanceCount returns the number of instances that share limits. The caller must hold
// mu.
func (r *Router) instanceCount() int {
	if len(r.instances) == 0 {
		return assumedInstances
	}
	return len(r.instances)
}

// setInstances replaces the instances that share limits, unless known is empty.
func (r *Router) setInstances(known []fleet.Peer) {
	if len(known) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := len(r.instances); before != len(known) {
		r.log.Info("fleet size changed", "instances", len(known), "before", before)
	}
	r.instances = known
	clear(r.accounts.homes)
	clear(r.upstreamLimits.homes)
	r.upstreams.SetInstances(instanceIDs(known))
}

// noteStoreResult records the outcome of a call to the store, and logs the first
// failure and the next success.
func (r *Router) noteStoreResult(now time.Time, err error) {
	r.mu.Lock()
	failingSince := r.storeFailingSince
	if errors.Is(err, ErrRestored) {
		err = nil // the store has answered
	}
	switch {
	case err == nil:
		if !failingSince.IsZero() && now.Sub(failingSince) > minLapseOutage {
			r.outageEndedAt = now
			if !r.listedDuringFailure.IsZero() {
				r.outageEndedAt = r.listedDuringFailure // this instance has made no calls since then
			}
		}
		r.storeAnsweredAt, r.storeFailingSince = now, time.Time{}
	case failingSince.IsZero():
		r.storeFailingSince = now
	}
	r.listedDuringFailure = time.Time{}
	r.mu.Unlock()
	switch {
	case err == nil && !failingSince.IsZero():
		r.log.Info("store calls succeed again", "after", now.Sub(failingSince).String())
	case err != nil && failingSince.IsZero():
		r.log.Warn("store call failed", "error", err)
	}
}

// setListedAt records when the current list of upstreams was requested from the store.
// The caller must hold mu.
func (r *Router) setListedAt(requestedAt time.Time) {
	r.listedAt = requestedAt
	r.upstreams.SetListedAt(requestedAt)
	if !r.storeFailingSince.IsZero() && r.listedDuringFailure.IsZero() {
		r.listedDuringFailure = requestedAt
	}
}

// storeAge returns the time since the last successful call to the store, an hour if
// there was none. The caller must hold mu.
func (r *Router) storeAge(now time.Time) time.Duration {
	if r.storeAnsweredAt.IsZero() {
		return time.Hour
	}
	return now.Sub(r.storeAnsweredAt)
}

// retryBudget returns the retry budget of a service. The caller must hold mu.
func (r *Router) retryBudget(id fleet.ServiceID) *balance.RetryBudget {
	b := r.retryBudgets[id]
	if b == nil {
		b = balance.NewRetryBudget(r.cfg.Retry.Ratio, r.cfg.Retry.Extra, r.cfg.Retry.Window)
		r.retryBudgets[id] = b
	}
	return b
}
