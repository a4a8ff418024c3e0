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

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// serverReadTimeout is how long a caller's connection may be idle. Callers reuse
	// connections for up to four fifths of the operators' idle timeout, 15 s.
	serverReadTimeout = 30 * time.Second
	// maxKeysSent bounds the recent maps that changes are told against.
	maxKeysSent = 32
	// unknownInstances is the number of instances that shared bounds are divided by
	// if neither the store nor the leader has told one. A fleet that starts for the
	// first time gets no traffic so early.
	unknownInstances = 16
	// gcPercent trades processor time, of which an instance uses a tenth of its share,
	// for memory, which is priced at its peak.
	gcPercent = 60
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
)

// Router is one instance.
type Router struct {
	cfg     Settings
	out     Platform
	log     hclog.Logger
	metrics *Metrics
	boot    fleet.BootID
	peers   *http1.Transport

	ready    atomic.Bool
	leaving  atomic.Bool
	operator atomic.Pointer[Operator]
	keys     atomic.Pointer[keyspace.Map]

	operatorNow chan struct{} // asks for the operators' wishes
	configured  chan struct{} // closed once there is a configuration

	mu           sync.Mutex // guards what follows
	rng          *rand.Rand
	settingsRead Settings // as they were read last

	// What requests are decided with.
	upstreams *balance.Table
	quota     *quota.Table
	lone      *quota.Table // of accounts whose homes do not answer
	home      *quota.Home
	homes     map[fleet.AccountID][]fleet.Peer // of accounts, as they follow from instances
	homesDown map[fleet.InstanceID]time.Time   // homes that did not answer
	budgets   map[fleet.ServiceID]*balance.Budget
	instances []fleet.Peer
	leaves    map[fleet.UpstreamID]time.Time // when upstreams were seen to leave
	evacuates map[fleet.ZoneID]time.Time     // when zones were seen to be evacuated
	keysNew   chan struct{}                  // closed when keys changes

	// How old that is.
	listed          time.Time // when the list of upstreams was asked for
	operatorChecked time.Time // when the operators' wishes were known to be unchanged
	storeSeen       time.Time // the last answer of the store
	storeFailing    time.Time // the first failure since then; zero if there is none
	servedOthers    time.Time // when the leader's first list since the last failure was asked for
	outageEnded     time.Time // the end of the last outage that this instance saw

	// What is reported to the leader, and what it told.
	leader    leaderInfo
	asked     map[fleet.ServiceID][]keyspace.Key // since the last report
	ownDemand map[fleet.AccountID]float64        // as it was reported last
	// demandReported is when that was.
	demandReported time.Time
	followed       followedList
	ownList        bool   // the list was read from the store, not told by the leader
	operatorTold   uint64 // the last change of the operators' wishes that it told

	// What replies are made of, if this instance leads.
	leadership  *leadership // nil unless this instance leads
	news        chan struct{}
	shared      *sharedList
	keysSent    map[keyspace.MapVersion]*keyspace.Map // recent maps
	operatorSeq uint64                                // counts changes of the operators' wishes
	totalDemand map[fleet.AccountID]float64           // of all instances
}

// New returns an instance that does not run yet.
func New(cfg Settings, out Platform, m *Metrics, log hclog.Logger) *Router {
	now := time.Now()
	r := &Router{
		cfg: cfg, settingsRead: cfg, out: out, log: log, metrics: m,
		boot:        fleet.BootID(strconv.FormatInt(now.UnixMilli(), 36)),
		peers:       http1.NewTransport(http1.TransportConfig{DialTimeout: peerDialTimeout, IdleTimeout: peerIdle, MaxBody: maxPeerBody, MaxIdle: 2, AllSilent: true}),
		operatorNow: make(chan struct{}, 1), configured: make(chan struct{}),
		shared: newSharedList(), news: make(chan struct{}), keysSent: make(map[keyspace.MapVersion]*keyspace.Map),
		quota: quota.New(now, quota.Config(cfg.Quota)), lone: quota.New(now, quota.Config(cfg.Quota)),
		home: quota.NewHome(quota.Config(cfg.Quota)), homes: make(map[fleet.AccountID][]fleet.Peer), homesDown: make(map[fleet.InstanceID]time.Time),
		budgets: make(map[fleet.ServiceID]*balance.Budget), keysNew: make(chan struct{}),
		asked: make(map[fleet.ServiceID][]keyspace.Key), leaves: make(map[fleet.UpstreamID]time.Time),
		evacuates: make(map[fleet.ZoneID]time.Time),
		rng:       rand.New(rand.NewPCG(uint64(now.UnixNano()), rand.Uint64())),
	}
	r.upstreams = balance.New(cfg.Instance, r.rng, r.coldBound)
	m.observe = r.observeKnowledge
	return r
}

func (r *Router) coldBound(id fleet.ServiceID) (time.Duration, fleet.PerSecond) {
	op := r.operator.Load()
	if op == nil || op.Table == nil {
		return 0, 0
	}
	s := op.Table.Services[id]
	return s.ColdFor, s.ColdRate
}

// Run serves until ctx ends and the instance has shut down.
func (r *Router) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if r.cfg.MaxMemory > 0 {
		debug.SetMemoryLimit(int64(float64(r.cfg.MaxMemory) * memoryShare))
	}
	r.log.Info("instance started", "instance", r.cfg.Instance, "boot", r.boot, "zone", r.cfg.Zone, "store", r.cfg.Store)
	callers, err := http1.Listen(http1.ServerConfig{Addr: r.cfg.CallerListen, Handler: http.HandlerFunc(r.serve), ReadTimeout: serverReadTimeout, MaxBody: maxCallerBody})
	if err != nil {
		return err
	}
	defer callers.Close()
	servers := map[string]http.Handler{
		r.cfg.HealthListen: http.HandlerFunc(r.health), r.cfg.PeerListen: http.HandlerFunc(r.servePeer),
	}
	if r.cfg.MetricsListen != "" {
		servers[r.cfg.MetricsListen] = r.metrics.Handler()
	}
	for addr, h := range servers {
		s, err := http1.Listen(http1.ServerConfig{Addr: addr, Handler: h, ReadTimeout: serverReadTimeout})
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		defer s.Close()
	}
	var g run.Group
	for _, loop := range []func(context.Context){r.followOperator, r.followUpstreams, r.coordinate, r.housekeep, r.watchSettings} {
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

const (
	// balancerNotices is the time until the platform's balancer sends no new
	// connections after the instance says that it is not ready: two questions, one a
	// second, and one on its way.
	balancerNotices = 2600 * time.Millisecond
	// exitMargin is the time between the end of a shutdown and SIGKILL. An instance with
	// 0.16 of a core took more than 400 ms to end. The platform does not count requests
	// that are cut in the last sixth of the grace time, 1 s.
	exitMargin = 800 * time.Millisecond
	// maxCallerBody bounds a request; the operators' limit is 64 MiB.
	maxCallerBody = 64 << 20
)

// shutdown says that the instance is not ready, goes on serving until callers have
// gone elsewhere, and ends after the last answer.
func (r *Router) shutdown(callers *http1.Server) error {
	began := time.Now()
	r.leaving.Store(true)
	r.ready.Store(false)
	r.mu.Lock()
	grace := r.cfg.Grace
	r.mu.Unlock()
	r.log.Info("instance stops", "grace", grace)
	callers.Drain()
	r.abdicate()
	time.Sleep(min(balancerNotices, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitMargin))
	defer cancel()
	err := callers.Shutdown(ctx)
	r.log.Info("instance stopped", "after", time.Since(began), "cut", err != nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// health answers the platform's balancer. An instance is ready once it can decide
// on requests.
func (r *Router) health(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.out.Protocol.HealthPath() {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !r.ready.Load() || r.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// housekeep closes connections that were idle for too long.
func (r *Router) housekeep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			r.out.Upstream.CloseExpired(now)
			r.peers.CloseExpired(now)
		}
	}
}

// setKeys takes over a newer map of key holders and wakes those that wait for it.
func (r *Router) setKeys(m *keyspace.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cur := r.keys.Load()
	if cur != nil && !cur.Version.Less(m.Version) {
		return
	}
	if cur != nil && cur.Version.Term > 0 { // else it is a recorded one, which others know differently
		if len(r.keysSent) >= maxKeysSent {
			clear(r.keysSent)
		}
		r.keysSent[cur.Version] = cur
	}
	r.keys.Store(m)
	close(r.keysNew)
	r.keysNew = make(chan struct{})
	r.announce()
}

// announce wakes the reports that wait for news. The caller holds mu.
func (r *Router) announce() {
	close(r.news)
	r.news = make(chan struct{})
}

// newsSoon returns a channel that is closed when there is something to tell.
func (r *Router) newsSoon() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.news
}

// readOperatorNow makes the instance read the operators' wishes.
func (r *Router) readOperatorNow() {
	select {
	case r.operatorNow <- struct{}{}:
	default:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keysChanged returns a channel that is closed when the map changes.
func (r *Router) keysChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keysNew
}

// instanceCount returns the number of instances that share bounds. The caller holds
// mu.
func (r *Router) instanceCount() int {
	if len(r.instances) == 0 {
		return unknownInstances
	}
	return len(r.instances)
}

// setInstances takes over the instances that share bounds, unless there are none.
func (r *Router) setInstances(known []fleet.Peer) {
	if len(known) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := len(r.instances); before != len(known) {
		r.log.Info("size of the fleet", "instances", len(known), "before", before)
	}
	r.instances = known
	clear(r.homes)
	r.upstreams.SetInstances(ids(known))
}

// storeAnswered notes the outcome of a call to the store, and logs when the store
// is lost and when it is back.
func (r *Router) storeAnswered(now time.Time, err error) {
	r.mu.Lock()
	was := r.storeFailing
	switch {
	case err == nil:
		if !was.IsZero() && now.Sub(was) > lapseAfter {
			r.outageEnded = now
			if !r.servedOthers.IsZero() {
				r.outageEnded = r.servedOthers // this instance has not asked since
			}
		}
		r.storeSeen, r.storeFailing = now, time.Time{}
	case was.IsZero():
		r.storeFailing = now
	}
	r.servedOthers = time.Time{}
	r.mu.Unlock()
	switch {
	case err == nil && !was.IsZero():
		r.log.Info("store is back", "after", now.Sub(was).String())
	case err != nil && was.IsZero():
		r.log.Warn("store does not answer", "error", err)
	}
}

// setListed notes when the list that this instance has was asked for. The caller holds
// mu.
func (r *Router) setListed(asked time.Time) {
	r.listed = asked
	if !r.storeFailing.IsZero() && r.servedOthers.IsZero() {
		r.servedOthers = asked
	}
}

// storeAge returns the time since the store last answered. The caller holds mu.
func (r *Router) storeAge(now time.Time) time.Duration {
	if r.storeSeen.IsZero() {
		return time.Hour
	}
	return now.Sub(r.storeSeen)
}

func (r *Router) budget(id fleet.ServiceID) *balance.Budget {
	b := r.budgets[id]
	if b == nil {
		b = balance.NewBudget(r.cfg.Retry.Ratio, r.cfg.Retry.Extra, r.cfg.Retry.Window)
		r.budgets[id] = b
	}
	return b
}
