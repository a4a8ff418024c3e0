// Package lab runs a whole fleet on the local machine for demonstrations and
// tests: the store, the upstreams, the instances and the load generators, each a
// process of its own. All listeners use loopback addresses.
//
// Fleet.Close ends every process that the lab started, each by its own process id.
// If the lab itself is killed, the kernel ends the processes on Linux. The lab waits
// for conditions instead of fixed times, and every wait has a timeout.
package lab

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/load"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/report"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Kind is the type of instance between callers and upstreams.
type Kind string

// Kinds of fleets.
const (
	Router   Kind = "router"   // instances of parsleyproxy
	Baseline Kind = "baseline" // instances of the baseline in the standin program
	Direct   Kind = "direct"   // no instances: callers send to the upstreams, without fences
)

// Options configures a fleet.
type Options struct {
	Shape    Shape
	Kind     Kind
	Dir      string // directory of the logs and histories; created if absent
	Binaries Binaries
	Rate     float64 // nominal load of all accounts in requests/s; account limits derive from it
	Seed     uint64
	Relayed  bool              // connect the processes through a relay that injects faults; only for Router
	Fencing  catalogue.Fencing // fencing of the upstreams; empty: checked for Router, otherwise none
}

// Fleet is a running fleet.
type Fleet struct {
	Options

	Instances []Instance
	Upstreams []Upstream
	StoreAddr string

	client    *http1.Client
	network   *relayNetwork // nil unless Relayed
	startJobs chan func()
	stopped   chan struct{}

	mu        sync.Mutex
	processes map[string]*Process
	// upstreamSpecs holds the specs with which RestartUpstream starts upstreams again.
	upstreamSpecs map[fleet.UpstreamID]processSpec
	startOrder    []*Process // in the order of their start
	events        []report.Event
	closed        bool
}

// Instance is a process of the router or the baseline, with its listen addresses.
type Instance struct {
	ID           fleet.InstanceID
	Zone         fleet.ZoneID
	CallerAddr   string // listen address for requests from callers
	PeerAddr     string
	ForwardAddr  string
	OperatorAddr string
}

// Upstream is an upstream process.
type Upstream struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceID
	Zone    fleet.ZoneID
	Addr    string
}

// storeName is the name of the store's process and of the link to it.
const storeName = "store"

// Timeouts, and the interval at which a condition is checked.
const (
	startTimeout = 10 * time.Second
	readyTimeout = 30 * time.Second
	termTimeout  = 5 * time.Second
	pollInterval = 50 * time.Millisecond
)

// fleetSecret is the secret that the instances of every test fleet share.
const (
	fleetSecret = "test-fleet-secret-0123456789abcdef"
)

// OperatorToken is the bearer token for the operator API of every test fleet.
const OperatorToken = "test-operator-token"

// Client returns the HTTP client that all fleets of the process share. It is never
// closed. With one client per fleet, 3 of 32 starts failed with "use of closed
// network connection" on a new connection. Sharing the client makes this failure
// less frequent.
var Client = sync.OnceValues(http1.NewClient)

// Start starts a fleet and waits until it serves requests. The caller must call
// Close. If Start returns an error, it has ended all processes.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	client, err := Client()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Options: o, client: client, startJobs: make(chan func()), stopped: make(chan struct{}),
		processes: make(map[string]*Process), upstreamSpecs: make(map[fleet.UpstreamID]processSpec),
	}
	if o.Relayed {
		if f.network, err = newRelayNetwork(f); err != nil {
			return nil, err
		}
	}
	go f.runStartJobs()
	started := false
	defer func() { // also on a panic
		if !started {
			f.Close()
		}
	}()
	for _, step := range []func(context.Context) error{f.startStore, f.startUpstreams, f.startInstances, f.configure, f.waitReady} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	started = true
	return f, nil
}

// runStartJobs runs the jobs that start processes on a thread that lives until the
// fleet is closed, because the kernel ends a process when the thread that started
// it exits.
func (f *Fleet) runStartJobs() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case job := <-f.startJobs:
			job()
		case <-f.stopped:
			return
		}
	}
}

// startProcess starts a process and registers it by its name. It replaces an earlier
// process of this name, which must have exited.
func (f *Fleet) startProcess(s processSpec) (*Process, error) {
	var p *Process
	err := errors.New("the fleet is closed")
	jobDone := make(chan struct{})
	job := func() {
		defer close(jobDone)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.closed {
			return
		}
		if p, err = execProcess(f.Dir, s); err == nil {
			f.processes[s.name] = p
			f.startOrder = append(f.startOrder, p)
		}
	}
	select {
	case f.startJobs <- job:
		<-jobDone
	case <-f.stopped:
	}
	return p, err
}

// startAndAwaitAddr starts a process and returns the listen address that the process
// prints.
func (f *Fleet) startAndAwaitAddr(ctx context.Context, s processSpec) (string, error) {
	p, err := f.startProcess(s)
	if err != nil {
		return "", err
	}
	return awaitAddr(ctx, p)
}

// awaitAddr waits until p prints its listen address.
func awaitAddr(ctx context.Context, p *Process) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case addr := <-p.listenAddr:
		return addr, nil
	case <-p.done:
		return "", errors.Errorf("%s exited before it was listening: %v; end of its log:\n%s", p.Name, p.exitErr, p.logTail())
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "wait until %s is listening", p.Name)
	}
}

func (f *Fleet) startStore(ctx context.Context) (err error) {
	if f.Kind == Direct {
		return nil
	}
	f.StoreAddr, err = f.startAndAwaitAddr(ctx, processSpec{name: storeName, path: f.Binaries.Standin, args: []string{"store"}})
	return err
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	var started []*Process
	i := 0
	for _, s := range f.Shape.Services {
		for n := 1; n <= s.Upstreams; n++ {
			u := Upstream{ID: UpstreamID(s.ID, n), Service: s.ID, Zone: f.Shape.Zone(i)}
			i++
			advertise := ""
			if f.network != nil {
				addrs, err := freeAddrs(1)
				if err != nil {
					return err
				}
				u.Addr = addrs[0]
				if advertise, err = f.network.addLink(string(u.ID), u.Addr); err != nil {
					return err
				}
			}
			spec := f.upstreamSpec(s, u, i, advertise)
			f.upstreamSpecs[u.ID] = spec
			p, err := f.startProcess(spec)
			if err != nil {
				return err
			}
			f.Upstreams, started = append(f.Upstreams, u), append(started, p)
		}
	}
	for i, p := range started {
		addr, err := awaitAddr(ctx, p)
		if err != nil {
			return err
		}
		f.Upstreams[i].Addr = addr
	}
	return nil
}

func (f *Fleet) upstreamSpec(s Service, u Upstream, index int, advertise string) processSpec {
	cold := s.ColdSlots
	if f.Kind == Direct {
		cold = s.Slots // without a router, nothing limits the load on upstreams that warm up
	}
	args := []string{
		"upstream", "--name", string(u.ID), "--service", string(u.Service), "--zone", string(u.Zone),
		"--slots", strconv.Itoa(s.Slots), "--cold-slots", strconv.Itoa(cold), "--warm-time", s.WarmTime.String(),
		"--service-time", s.ServiceTime.String(), "--fencing", string(f.fencing()), "--drain-time", f.Shape.DrainTime.String(),
		"--seed", strconv.FormatUint(f.Seed*1000+uint64(index), 10),
		"--history", filepath.Join(f.Dir, "upstream-"+string(u.ID)+".jsonl"),
	}
	if s.StragglePercent > 0 {
		args = append(args, "--straggle-probability", strconv.FormatFloat(s.StragglePercent/100, 'f', -1, 64),
			"--straggle-time", s.StraggleTime.String())
	}
	if f.StoreAddr != "" {
		args = append(args, "--list", f.StoreAddr)
	}
	if f.Kind == Router {
		args = append(args, "--secret", callerKeyPrefix)
	}
	if advertise != "" {
		args = append(args, "--listen", u.Addr, "--advertise", advertise)
	}
	return processSpec{name: string(u.ID), path: f.Binaries.Standin, args: args}
}

func (f *Fleet) fencing() catalogue.Fencing {
	switch {
	case f.Fencing != "":
		return f.Fencing
	case f.Kind == Router:
		return catalogue.FencingChecked
	}
	return catalogue.FencingNone
}

// RestartUpstream starts an upstream again after its process has exited. The new
// process is cold: its caches are empty.
func (f *Fleet) RestartUpstream(ctx context.Context, id fleet.UpstreamID) error {
	s, ok := f.upstreamSpecs[id]
	if !ok {
		return errors.Errorf("no upstream %q", id)
	}
	addr, err := f.startAndAwaitAddr(ctx, s)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.Upstreams {
		if f.Upstreams[i].ID == id {
			f.Upstreams[i].Addr = addr
		}
	}
	return nil
}

// PID returns the process id of the process with this name, or 0 if there is none.
func (f *Fleet) PID(name string) int {
	if p := f.Process(name); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// Process returns the process of the instance, upstream or other part of the fleet
// with this name, or nil if there is none.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

func (f *Fleet) signal(name string, s os.Signal) (*Process, error) {
	p := f.Process(name)
	if p == nil {
		return nil, errors.Errorf("no process %q", name)
	}
	return p, p.signal(s)
}

// Kill sends SIGKILL to a process, waits until it has exited, and removes it from
// the platform's instance list, which shows the removal after its lag. The loss of
// an upstream is recorded as an event.
func (f *Fleet) Kill(ctx context.Context, name string) error {
	at := time.Now()
	p, err := f.signal(name, syscall.SIGKILL)
	if err != nil {
		return err
	}
	for _, u := range f.Upstreams {
		if string(u.ID) == name {
			f.recordEvent(report.Event{At: at, Kind: report.UpstreamLost, Name: name})
		}
	}
	if !p.wait(termTimeout) {
		return errors.Errorf("%s did not exit after SIGKILL", name)
	}
	return f.deregister(ctx, name)
}

// Terminate sends SIGTERM to a process, waits until it has exited, and removes it
// from the platform's instance list.
func (f *Fleet) Terminate(ctx context.Context, name string, within time.Duration) error {
	p, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	if !p.wait(within) {
		return errors.Errorf("%s did not exit within %s of SIGTERM", name, within)
	}
	return f.deregister(ctx, name)
}

// Pause suspends a process with SIGSTOP.
func (f *Fleet) Pause(name string) error {
	p, err := f.signal(name, syscall.SIGSTOP)
	if err == nil {
		p.setPaused(true)
	}
	return err
}

// Resume continues a suspended process with SIGCONT.
func (f *Fleet) Resume(name string) error {
	p, err := f.signal(name, syscall.SIGCONT)
	if err == nil {
		p.setPaused(false)
	}
	return err
}

func (p *Process) setPaused(v bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = v
}

func (f *Fleet) recordEvent(e report.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// Close ends every process: first the load generators, then the instances, then the
// store and the upstreams. Instances write no histories and get SIGKILL at once. The
// other processes get SIGTERM, so that their histories are complete, and SIGKILL
// after a timeout.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	startOrder := f.startOrder
	f.mu.Unlock()
	for groupIndex, group := range f.shutdownGroups(startOrder) {
		for _, p := range group {
			_ = p.signal(syscall.SIGCONT)
			if groupIndex == instanceGroup {
				// The load has ended, so no request is lost. Instances that all
				// drain at the same time have no successor for their roles and would
				// wait until their drain timeout.
				_ = p.signal(syscall.SIGKILL)
			} else {
				_ = p.signal(syscall.SIGTERM)
			}
		}
		deadline := time.Now().Add(termTimeout)
		for _, p := range group {
			if !p.wait(time.Until(deadline)) {
				_ = p.signal(syscall.SIGKILL)
				<-p.done
			}
		}
	}
	close(f.stopped)
	if f.network != nil {
		f.network.relay.Close()
	}
}

// instanceGroup is the index of the instances in the result of shutdownGroups.
const instanceGroup = 1

// shutdownGroups divides the processes into groups that are ended one after the
// other: load generators, instances, and the store and upstreams that these depend
// on.
func (f *Fleet) shutdownGroups(order []*Process) [3][]*Process {
	instances, dependencies := make(map[string]bool), map[string]bool{storeName: true}
	for _, i := range f.Instances {
		instances[string(i.ID)] = true
	}
	for _, u := range f.Upstreams {
		dependencies[string(u.ID)] = true
	}
	var out [3][]*Process
	for _, p := range order {
		switch {
		case instances[p.Name]:
			out[instanceGroup] = append(out[instanceGroup], p)
		case dependencies[p.Name]:
			out[2] = append(out[2], p)
		default:
			out[0] = append(out[0], p)
		}
	}
	return out
}

// OperatorClient returns a client for the operator API of an instance. The caller must
// close it.
func (f *Fleet) OperatorClient(i Instance) *operator.Client {
	return operator.NewClient(f.client, i.OperatorAddr, OperatorToken)
}

// Targets returns the addresses to which callers send their requests: those of the
// instances, or of the upstreams for Direct.
func (f *Fleet) Targets() (out []load.Target) {
	if f.Kind == Direct {
		for _, u := range f.Upstreams {
			out = append(out, load.Target{Name: string(u.ID), Addr: u.Addr, Service: u.Service})
		}
		return out
	}
	for _, i := range f.Instances {
		out = append(out, load.Target{Name: string(i.ID), Addr: i.CallerAddr})
	}
	return out
}
