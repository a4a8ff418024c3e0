// Package load is an open-loop load generator. The requests of each client
// account arrive as a Poisson process that is independent of the responses, so
// that a slow response does not delay later requests. Latency is measured from
// the scheduled arrival of a request and thus includes the simulated network
// delay and any scheduling delay of the generator itself.
//
// Each request goes to a random ready target, as behind a load balancer. It
// carries its id in the header X-Client-Id. A response is whole if it echoes that
// id and its body is valid and names the routing key and the client account of
// the request. Refusals follow a weaker rule, since they may not come from an
// upstream: their body must be valid JSON and must not echo a different id.
package load

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Config describes the load that a Generator offers.
type Config struct {
	Targets  []Target
	Accounts []Account
	Entries  []Entry

	Duration          time.Duration
	MaxRequests       int           // total over all accounts; 0 means no limit
	MaxInFlight       int           // arrivals above this limit are not sent and are recorded as not-run; 0 means 4096
	Deadline          time.Duration // time allowed per request, sent in Parsley-Deadline-Ms; 0 means 2 s
	NetworkDelay      time.Duration // simulated network delay before a request is sent
	HotKeyInterval    time.Duration // interval at which the most requested keys change; 0 means never
	ReadinessInterval time.Duration // interval of readiness checks; 0 disables them, so that every target counts as ready
	Direct            bool          // targets are upstreams that do not check fencing tokens
	Seed              uint64
	History           io.Writer // receives one JSON line per request; nil means no history
}

// Target is an instance, or an upstream if Config.Direct is set.
type Target struct {
	Name    string
	Addr    string
	Service fleet.ServiceID // set only for an upstream
}

// Account is a client account that sends requests.
type Account struct {
	ID          fleet.AccountID
	Key         fleet.CallerKey
	Rate        float64 // requests/s
	LoadFactor  float64 // multiplier of Rate; 0 means 1
	Target      string  // name of the preferred target; empty means no preference
	TargetShare float64 // fraction from 0 to 1 of the requests that go to Target; the others go to a random ready target
}

// Entry is a catalogue entry that requests use.
type Entry struct {
	ID      fleet.EntryID
	Service fleet.ServiceID
	Prefix  string // path prefix that ends in a slash and is followed by the routing key
	Class   catalogue.Class
	Weight  float64 // frequency of requests relative to the other entries
	Keys    int     // number of different routing keys
	Skew    float64 // exponent of the Zipf distribution of keys, above 1; 0 means uniform
}

// Defaults and limits of a Generator.
const (
	defaultMaxInFlight = 4096
	defaultDeadline    = 2 * time.Second
	// lateAnswerWait is how long the generator waits for a response after the
	// deadline of the request, so that late refusals are recorded with their outcome.
	lateAnswerWait = 500 * time.Millisecond
	// maxConnsPerTarget gives every request in flight its own connection at the
	// default limit on requests in flight.
	maxConnsPerTarget = 4096
)

// Generator offers the load of a Config and records the result of each request.
type Generator struct {
	cfg         Config
	client      *http1.Client
	pools       map[string]*http1.Pool // by target name
	health      *healthChecker
	history     *historyWriter
	idPrefix    string // start of the client ids, unique per run
	totalWeight float64

	arrivalCount atomic.Int64
	inFlight     atomic.Int64
	pending      sync.WaitGroup

	mu      sync.Mutex
	summary Summary
}

// New validates cfg and returns a Generator.
func New(cfg Config) (*Generator, error) {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	if cfg.Deadline <= 0 {
		cfg.Deadline = defaultDeadline
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	client, err := http1.NewClient()
	if err != nil {
		return nil, err
	}
	g := &Generator{
		cfg: cfg, client: client, pools: make(map[string]*http1.Pool),
		history: newHistoryWriter(cfg.History), summary: newSummary(),
		idPrefix: strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
	}
	for _, t := range cfg.Targets {
		g.pools[t.Name] = client.NewPool(t.Addr, http1.PoolConfig{MaxConns: maxConnsPerTarget})
	}
	for _, e := range cfg.Entries {
		g.totalWeight += e.Weight
	}
	g.health = newHealthChecker(cfg.Targets)
	return g, nil
}

func (c Config) check() error {
	if len(c.Targets) == 0 || len(c.Accounts) == 0 || len(c.Entries) == 0 {
		return errors.New("load configuration needs at least one target, one account and one entry")
	}
	if c.Duration <= 0 {
		return errors.Errorf("load duration is %s, want more than 0", c.Duration)
	}
	for _, a := range c.Accounts {
		if a.Rate <= 0 || a.LoadFactor < 0 || a.TargetShare < 0 || a.TargetShare > 1 {
			return errors.Errorf("load account %q: want rate > 0, times >= 0 and 0 <= share <= 1", a.ID)
		}
	}
	for _, e := range c.Entries {
		if e.Weight <= 0 || e.Keys < 1 || (e.Skew != 0 && e.Skew <= 1) {
			return errors.Errorf("load entry %q: want weight > 0, keys >= 1 and skew 0 or > 1", e.ID)
		}
		if e.Class != catalogue.Idempotent && e.Class != catalogue.NonIdempotent {
			return errors.Errorf("load entry %q: class is %q, want idempotent or non-idempotent", e.ID, e.Class)
		}
	}
	return nil
}

// Run offers the load until Config.Duration has passed, Config.MaxRequests have
// arrived or ctx is done. It then waits for the requests in flight and returns
// the summary. A Generator can run only once.
func (g *Generator) Run(ctx context.Context) (Summary, error) {
	defer g.client.Close()
	arrivalsCtx, stopArrivals := context.WithTimeout(ctx, g.cfg.Duration)
	defer stopArrivals()
	start := time.Now()
	var sources, checks sync.WaitGroup
	if g.cfg.ReadinessInterval > 0 {
		g.health.checkAll(arrivalsCtx, g)
		checks.Go(func() { g.health.run(arrivalsCtx, g) })
	}
	for i := range g.cfg.Accounts {
		sources.Go(func() { g.generateArrivals(arrivalsCtx, start, i) })
	}
	sources.Wait()
	stopArrivals() // ends the readiness checks if MaxRequests ended the arrivals before Duration
	checks.Wait()
	g.pending.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.Elapsed = time.Since(start)
	return g.summary, g.history.flush()
}

// generateArrivals starts the requests of one account at the times of a Poisson
// process.
func (g *Generator) generateArrivals(ctx context.Context, start time.Time, index int) {
	a := g.cfg.Accounts[index]
	rng := rand.New(rand.NewPCG(g.cfg.Seed, uint64(index)+1))
	picker := newPicker(rng, g.cfg.Entries, g.totalWeight)
	rate := a.Rate
	if a.LoadFactor > 0 {
		rate *= a.LoadFactor
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := start; ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		n := g.arrivalCount.Add(1)
		if g.cfg.MaxRequests > 0 && n > int64(g.cfg.MaxRequests) {
			return
		}
		e := picker.pickEntry()
		r := request{
			arrival: at, account: a, entryIndex: e, id: g.idPrefix + strconv.FormatInt(n, 36),
			key: picker.pickKey(e, g.hotKeyEpoch(at.Sub(start))),
		}
		r.target = g.pickTarget(rng, r)
		g.startRequest(r)
	}
}

// hotKeyEpoch returns how many times the hot keys have changed.
func (g *Generator) hotKeyEpoch(elapsed time.Duration) int {
	if g.cfg.HotKeyInterval <= 0 {
		return 0
	}
	return int(elapsed / g.cfg.HotKeyInterval)
}

// pickTarget returns the target for a request.
func (g *Generator) pickTarget(rng *rand.Rand, r request) Target {
	if g.cfg.Direct {
		return StaticOwner(g.cfg.Targets, g.cfg.Entries[r.entryIndex].Service, r.key)
	}
	if r.account.Target != "" && rng.Float64() < r.account.TargetShare {
		for _, t := range g.cfg.Targets {
			if t.Name == r.account.Target {
				return t
			}
		}
	}
	return g.health.pick(rng)
}

// startRequest sends a request in a new goroutine, or records it as not-run if
// Config.MaxInFlight requests are in flight already.
func (g *Generator) startRequest(r request) {
	if g.inFlight.Add(1) > int64(g.cfg.MaxInFlight) {
		g.inFlight.Add(-1)
		g.recordResult(r, result{outcome: OutcomeNotRun, reason: reasonGeneratorFull, end: time.Now()})
		return
	}
	g.pending.Go(func() {
		defer g.inFlight.Add(-1)
		if g.cfg.NetworkDelay > 0 {
			time.Sleep(time.Until(r.arrival.Add(g.cfg.NetworkDelay)))
		}
		g.recordResult(r, g.send(r))
	})
}

func (g *Generator) recordResult(r request, res result) {
	e := g.cfg.Entries[r.entryIndex]
	g.history.write(r, e, res)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.record(e.Class, r.arrival, res)
}
