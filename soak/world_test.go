package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/front"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
)

// Time bounds and periods that the platform promises or requires. Those that are also
// settings of the instances have the same values there.
const (
	gracePeriod       = 6 * time.Second        // from SIGTERM to the end of a process
	drainTime         = 2 * time.Second        // from an upstream's leave to its last request
	inForceTime       = 2 * time.Second        // from a change of configuration to its effect
	contactTime       = 3 * time.Second        // without disturbances, after which time bounds apply
	heartbeatInterval = 400 * time.Millisecond // between two writes of an upstream's entry
	coldTime          = 500 * time.Millisecond // cold start of an upstream
	thawSlack         = 300 * time.Millisecond // after a process continues or a link heals, in which late grants do not count
	copyInterval      = 250 * time.Millisecond // between two copies of the store
)

// testEnv holds the processes under test and the test doubles of the platform.
type testEnv struct {
	t          *testing.T
	rng        *rand.Rand
	dir        string
	network    string // first three bytes of the run's loopback addresses
	store      *standin.Store
	relays     *relay.Server
	instances  []*instance
	executions *executionLog
	grants     *standin.GrantLog // of all upstreams that hold keys
	startedAt  time.Time

	faultMu     sync.Mutex
	storeFaults int            // faults of the store ever begun
	linkFaults  map[string]int // faults ever begun, by route

	mu                sync.Mutex
	upstreams         []*upstream
	upstreamCount     int // upstreams ever added; numbers their ids
	config            config
	storeDisturbances []disturbance
	limits            []*namedLimit          // that upstreams named
	copies            []storeCopy            // of the store, in the order of their times
	thawedAt          []time.Time            // when paused processes continued
	healedAt          map[string][]time.Time // when faults of the relay's routes ended, by route
	faultLog          []string               // injected faults with their times, printed if the run fails
}

// storeCopy is a copy of the store, from which it can be restored.
type storeCopy struct {
	standin.Copy
	takenAt time.Time
}

// disturbance is the period in which a fault or a planned restart affects an instance or
// the store.
type disturbance struct {
	begin, end time.Time
	planned    bool // restart of a process as the platform does it
}

// disturbedBetween reports whether any disturbance overlaps the period from contactTime
// before from to to. Planned ones count if planned is set.
func disturbedBetween(disturbances []disturbance, from, to time.Time, planned bool) bool {
	for _, d := range disturbances {
		if d.end.Add(contactTime).After(from) && d.begin.Before(to) && (planned || !d.planned) {
			return true
		}
	}
	return false
}

// instance is a process of the router and its successors after restarts.
type instance struct {
	name, ip, zone string
	env            *testEnv

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	processAt    time.Time     // start of the current process
	disturbances []disturbance // of the process or its links
	faultActive  bool          // an injected fault has not ended
	ready        bool          // according to the probes of the load balancer
	failedProbes int           // consecutive

	settingsChanges int // changes of the settings; each moves two bounds by one
}

// upstream is a test double of an upstream with its entry in the store, reached through a
// relay.
type upstream struct {
	*standin.Upstream
	service, zone string
	route         string // name of the relay's route, also the upstream's id
	addr          string // of the relay's route, "IP:port"

	mu       sync.Mutex
	down     bool
	draining bool
	leftAt   time.Time   // when the store acknowledged the leave; zero: not leaving
	limit    *namedLimit // that the run names; nil: none
}

// logFault appends an event to the fault log, with the time since the start of the run.
func (env *testEnv) logFault(format string, args ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.faultLog = append(env.faultLog, fmt.Sprintf("%6.2f s  ", time.Since(env.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// runsStarted counts the runs of this process. Runs at the same time have different
// networks, whatever their seeds.
var runsStarted atomic.Int32

// newTestEnv starts the store, the relay, 8 upstreams of 2 services and count instances.
func newTestEnv(t *testing.T, seed uint64, count int) *testEnv {
	t.Helper()
	env := &testEnv{t: t, rng: rand.New(rand.NewPCG(seed, 1)), dir: t.TempDir(), startedAt: time.Now(), executions: newExecutionLog(), grants: standin.NewGrantLog(), healedAt: make(map[string][]time.Time), linkFaults: make(map[string]int)}
	var err error
	if env.store, err = standin.StartStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.store.Close)
	if env.relays, err = relay.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.relays.Close)
	// Each run has a loopback network of its own, and each instance an address in it,
	// because all instances use the same ports. Upstreams listen in it because a port of
	// 127.0.0.1 can be taken by any connection while an upstream is down.
	env.network = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, runsStarted.Add(1)%250)
	env.config = initialConfig()
	env.store.Put("op/config", env.config.encode())
	for i := range 8 {
		env.addUpstream([]string{"desk", "vault"}[i%2], zoneForIndex(i/2))
	}
	for i := range count {
		env.instances = append(env.instances, &instance{name: fmt.Sprint("front-", i+1), ip: fmt.Sprint(env.network, ".", i+1), zone: zoneForIndex(i), env: env})
	}
	for _, in := range env.instances {
		in.writeSettings(true)
		in.start()
	}
	t.Cleanup(func() {
		for _, in := range env.instances {
			in.kill()
		}
	})
	return env
}

// settingsWrites counts the files of settings written; it makes their names unique.
var settingsWrites atomic.Int64

// zoneForIndex spreads indexes over three zones.
func zoneForIndex(i int) string { return fmt.Sprint("z", i%3+1) }

// addUpstream starts an upstream behind a relay and registers it in the store.
func (env *testEnv) addUpstream(service, zone string) *upstream {
	env.mu.Lock()
	env.upstreamCount++
	u := &upstream{service: service, zone: zone, route: fmt.Sprint("u", env.upstreamCount)}
	env.mu.Unlock()
	work := 20 * time.Millisecond
	var grants *standin.GrantLog
	if service == "vault" {
		grants = env.grants
	}
	var err error
	u.Upstream, err = standin.StartUpstream(standin.UpstreamConfig{
		ID: u.route, Service: service, Zone: zone, Sharded: service == "vault", ServiceTime: work, Grants: grants, Addr: env.network + ".250:0",
		OnStart: func(_ *standin.Upstream, r *http.Request) { env.executions.recordStart(env, u, r) },
	})
	if err == nil {
		u.addr, err = env.relays.AddRoute(u.route, "127.0.0.1:0", u.Addr())
	}
	if err != nil {
		env.t.Error(err)
		return u
	}
	env.mu.Lock()
	env.upstreams = append(env.upstreams, u)
	env.mu.Unlock()
	env.writeHeartbeat(u)
	return u
}

// writeHeartbeat renews the store entry of an upstream, unless the upstream is down or
// has left.
func (env *testEnv) writeHeartbeat(u *upstream) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down && (u.leftAt.IsZero() || u.draining) {
		key, value := u.Registration(u.addr, u.draining)
		env.store.PutWithTTL(key, value, 3*heartbeatInterval)
	}
}

// currentUpstreams returns a copy of the list of all upstreams.
func (env *testEnv) currentUpstreams() []*upstream {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]*upstream(nil), env.upstreams...)
}

// maintain renews the entries of upstreams, copies the store and probes the readiness of
// instances at regular intervals until stop is closed.
func (env *testEnv) maintain(stop <-chan struct{}) {
	var g sync.WaitGroup
	runEvery := func(interval time.Duration, f func()) {
		g.Add(1)
		go func() {
			defer g.Done()
			tick := time.NewTicker(interval)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					f()
				}
			}
		}()
	}
	runEvery(heartbeatInterval, func() {
		for _, u := range env.currentUpstreams() {
			env.writeHeartbeat(u)
		}
	})
	runEvery(copyInterval, env.copyStore)
	for _, in := range env.instances {
		runEvery(500*time.Millisecond, in.probe)
	}
	g.Wait()
}

// probeClient opens a new connection for each readiness probe.
var probeClient = &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// probe checks the readiness of the instance as a load balancer does: two consecutive
// failures take it out of rotation, and one success puts it back.
func (in *instance) probe() {
	res, err := probeClient.Get("http://" + in.ip + ":8384/api/readyz")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if ok {
		in.ready, in.failedProbes = true, 0
	} else if in.failedProbes++; in.failedProbes >= 2 {
		in.ready = false
	}
}

// recordDisturbance records a disturbance that starts now and lasts for d.
func (in *instance) recordDisturbance(d time.Duration, planned bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.disturbances = append(in.disturbances, disturbance{time.Now(), time.Now().Add(d), planned})
}

// beginFault reserves the instance for a fault that lasts for d and records the
// disturbance. It reports false if another fault is active.
func (in *instance) beginFault(d time.Duration, planned bool) bool {
	in.mu.Lock()
	free := !in.faultActive
	in.faultActive = true
	in.mu.Unlock()
	if free {
		in.recordDisturbance(d, planned)
	}
	return free
}

// endFault lets other faults affect the instance again.
func (in *instance) endFault() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.faultActive = false
}

// storeRoute returns the name of the relay's route from the instance to the store.
func (in *instance) storeRoute() string { return "store-" + in.name }

func (in *instance) settingsPath() string { return filepath.Join(in.env.dir, in.name+".json") }

// writeSettings writes the settings file. On the first start it also adds the relay's
// route to the store, and the settings let the instance bootstrap the fleet.
func (in *instance) writeSettings(firstStart bool) {
	env := in.env
	if firstStart {
		if _, err := env.relays.AddRoute(in.storeRoute(), in.ip+":8400", env.store.Addr()); err != nil {
			env.t.Fatal(err)
		}
	}
	in.mu.Lock()
	changes := in.settingsChanges
	in.mu.Unlock()
	text := fmt.Sprintf(`{"nodeName":%q,"zone":%q,"bootstrap":%t,"listen":{"front":"%s:8388","ready":"%s:8384","control":"%s:8381"},
 "limits":{"memoryMb":284,"cpuShare":1,"cpuCores":1},"platform":{"address":"%s:8400","ttlMin":"1000ms"},
 "bounds":{"grace":"%dms","budgetRatio":0.2,"budgetExtra":%d,"budgetWindow":"10s","quotaWindow":"5s","quotaOverage":%v,"quotaSlack":%d,"holdMax":"10000ms"}}`,
		in.name, in.zone, firstStart, in.ip, in.ip, in.ip, in.ip, gracePeriod.Milliseconds(), 60-changes%2, quotaOverage, quotaSlack-changes%2)
	// The instance may read the settings at any time.
	next := filepath.Join(env.dir, in.name+fmt.Sprint(".next-", settingsWrites.Add(1)))
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		env.t.Error(err)
	}
	if err := os.Rename(next, in.settingsPath()); err != nil {
		env.t.Error(err)
	}
}

// start starts a process, which appends to the log file of earlier ones.
func (in *instance) start() {
	out, err := os.OpenFile(filepath.Join(in.env.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		in.env.t.Error(err)
		return
	}
	cmd := exec.Command(program, "front")
	cmd.Env = append(os.Environ(), "PARSLEYPROXY_BOOT="+in.settingsPath())
	cmd.Stdout, cmd.Stderr = out, out
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := cmd.Start(); err != nil {
		in.env.t.Error(err)
		_ = out.Close()
		return
	}
	exited := make(chan struct{})
	in.cmd, in.exited, in.processAt = cmd, exited, time.Now()
	go func() {
		_ = cmd.Wait() // returns an error for killed processes
		_ = out.Close()
		close(exited)
	}()
}

// signal sends a signal to the current process unless it has exited.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited: // the system may have reused its process id
	default:
		_ = in.cmd.Process.Signal(sig)
	}
}

// kill kills the current process, if there is one, and waits for its end.
func (in *instance) kill() {
	if in.cmd == nil {
		return
	}
	in.signal(syscall.SIGKILL)
	<-in.exited
}

// restart starts a new process after the last one has exited, and ends the fault.
func (in *instance) restart() {
	in.writeSettings(false)
	in.recordDisturbance(0, true)
	in.start()
	in.endFault()
}
