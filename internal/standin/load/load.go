// Package load is an open-loop load generator. Each client account has a Poisson
// process of arrivals that does not depend on answers, so a slow answer delays
// no later request. The latency of a request counts from its planned arrival,
// which includes the simulated network delay and any lateness of the generator.
//
// A request goes to a random target that is ready, as a load balancer would
// send it. Its id travels in X-Client-Id; an answer is whole if it echoes the id
// and its body names the routing key and the client account of the request.
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

// Config describes the load.
type Config struct {
	Targets  []Target
	Accounts []Account
	Entries  []Entry

	Duration    time.Duration
	MaxRequests int           // over all accounts; 0: no bound
	MaxInFlight int           // arrivals above it are recorded as not sent; 0: 4096
	Deadline    time.Duration // sent in Parsley-Deadline-Ms; 0: 2 s
	Delay       time.Duration // network delay, waited before a request is sent
	HotChange   time.Duration // the hot keys change this often; 0: never
	Health      time.Duration // interval of readiness checks; 0: none, every target is ready
	Direct      bool          // targets are upstreams that check no fencing tokens
	Seed        uint64
	History     io.Writer // nil: none
}

// Target is an instance, or an upstream if Config.Direct is set.
type Target struct {
	Name    string
	Addr    string
	Service fleet.ServiceID // of an upstream
}

// Account is a client account as a source of requests.
type Account struct {
	ID     fleet.AccountID
	Key    fleet.CallerKey
	Rate   float64 // requests/s
	Times  float64 // factor on the rate; 0 means 1
	Target string  // gets Share of the requests; empty: none in particular
	Share  float64
}

// Entry is a catalogue entry that requests use.
type Entry struct {
	ID      fleet.EntryID
	Service fleet.ServiceID
	Prefix  string // with a final slash; the routing key follows it
	Class   catalogue.Class
	Weight  float64 // share of the requests, relative to the other entries
	Keys    int     // number of routing keys
	Skew    float64 // exponent of the zipf distribution, above 1; 0: all keys alike
}

// Defaults of Config.
const (
	defaultInFlight = 4096
	defaultDeadline = 2 * time.Second
	// answerMargin is how long after a request's deadline an answer is still
	// waited for, so that late refusals are recorded with their outcome.
	answerMargin = 500 * time.Millisecond
	// connsPerTarget allows every request in flight a connection of its own.
	connsPerTarget = 4096
)

// Generator sends requests.
type Generator struct {
	cfg     Config
	client  *http1.Client
	pools   map[string]*http1.Pool // by target name
	health  *health
	history *writer
	prefix  string // of client ids, unique per run
	weights float64

	sent     atomic.Int64
	inFlight atomic.Int64
	requests sync.WaitGroup

	mu      sync.Mutex
	summary Summary
}

// New checks cfg and returns a generator.
func New(cfg Config) (*Generator, error) {
	if cfg.MaxInFlight <= 0 {
		cfg.MaxInFlight = defaultInFlight
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
		history: newWriter(cfg.History), summary: newSummary(),
		prefix: strconv.FormatInt(time.Now().UnixNano(), 36) + "-",
	}
	for _, t := range cfg.Targets {
		g.pools[t.Name] = client.NewPool(t.Addr, http1.PoolConfig{MaxConns: connsPerTarget})
	}
	for _, e := range cfg.Entries {
		g.weights += e.Weight
	}
	g.health = newHealth(cfg.Targets)
	return g, nil
}

func (c Config) check() error {
	if len(c.Targets) == 0 || len(c.Accounts) == 0 || len(c.Entries) == 0 {
		return errors.New("load needs at least one target, one account and one entry")
	}
	if c.Duration <= 0 {
		return errors.Errorf("duration %s: want more than 0", c.Duration)
	}
	for _, a := range c.Accounts {
		if a.Rate <= 0 || a.Times < 0 || a.Share < 0 || a.Share > 1 {
			return errors.Errorf("account %q: want rate > 0, times >= 0 and 0 <= share <= 1", a.ID)
		}
	}
	for _, e := range c.Entries {
		if e.Weight <= 0 || e.Keys < 1 || (e.Skew != 0 && e.Skew <= 1) {
			return errors.Errorf("entry %q: want weight > 0, keys >= 1 and skew 0 or above 1", e.ID)
		}
		if e.Class != catalogue.Idempotent && e.Class != catalogue.NonIdempotent {
			return errors.Errorf("entry %q: class %q is neither idempotent nor non-idempotent", e.ID, e.Class)
		}
	}
	return nil
}

// Run sends requests until the duration or ctx ends, waits for the answers and
// returns the summary.
func (g *Generator) Run(ctx context.Context) (Summary, error) {
	defer g.client.Close()
	arrivals, stop := context.WithTimeout(ctx, g.cfg.Duration)
	defer stop()
	began := time.Now()
	var sources, checks sync.WaitGroup
	if g.cfg.Health > 0 {
		g.health.checkAll(arrivals, g)
		checks.Go(func() { g.health.watch(arrivals, g) })
	}
	for i := range g.cfg.Accounts {
		sources.Go(func() { g.source(arrivals, began, i) })
	}
	sources.Wait()
	stop() // the bound on the count may have ended the arrivals earlier
	checks.Wait()
	g.requests.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.Took = time.Since(began)
	return g.summary, g.history.flush()
}

// source creates the arrivals of one account.
func (g *Generator) source(ctx context.Context, began time.Time, index int) {
	a := g.cfg.Accounts[index]
	rng := rand.New(rand.NewPCG(g.cfg.Seed, uint64(index)+1))
	pick := newPicker(rng, g.cfg.Entries, g.weights)
	rate := a.Rate
	if a.Times > 0 {
		rate *= a.Times
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for at := began; ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		timer.Reset(time.Until(at))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		n := g.sent.Add(1)
		if g.cfg.MaxRequests > 0 && n > int64(g.cfg.MaxRequests) {
			return
		}
		e := pick.entry()
		r := request{
			at: at, account: a, entry: e, id: g.prefix + strconv.FormatInt(n, 36),
			key: pick.key(e, g.epoch(at.Sub(began))),
		}
		r.target = g.target(rng, r)
		g.start(r)
	}
}

// epoch counts the changes of the hot keys.
func (g *Generator) epoch(elapsed time.Duration) int {
	if g.cfg.HotChange <= 0 {
		return 0
	}
	return int(elapsed / g.cfg.HotChange)
}

// target picks where a request goes.
func (g *Generator) target(rng *rand.Rand, r request) Target {
	if g.cfg.Direct {
		return Owner(g.cfg.Targets, g.cfg.Entries[r.entry].Service, r.key)
	}
	if r.account.Target != "" && rng.Float64() < r.account.Share {
		for _, t := range g.cfg.Targets {
			if t.Name == r.account.Target {
				return t
			}
		}
	}
	return g.health.pick(rng)
}

// start sends a request unless too many are in flight.
func (g *Generator) start(r request) {
	if g.inFlight.Add(1) > int64(g.cfg.MaxInFlight) {
		g.inFlight.Add(-1)
		g.finish(r, result{outcome: OutcomeNotRun, reason: reasonGenerator, end: time.Now()})
		return
	}
	g.requests.Go(func() {
		defer g.inFlight.Add(-1)
		if g.cfg.Delay > 0 {
			time.Sleep(time.Until(r.at.Add(g.cfg.Delay)))
		}
		g.finish(r, g.send(r))
	})
}

func (g *Generator) finish(r request, res result) {
	e := g.cfg.Entries[r.entry]
	g.history.write(r, e, res)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.add(e.Class, r.at, res)
}
