// Package lab starts the processes of a whole fleet on this machine, for
// demonstrations and tests: the store, upstreams, instances and load. Only
// loopback addresses are used.
//
// Close ends every process that the lab started, each by its own process id. If
// the lab is killed, the kernel ends them on Linux. Waiting is always for a
// condition and bounded.
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

// Kind says what stands between callers and upstreams.
type Kind string

// Kinds of fleets.
const (
	Router   Kind = "router"
	Baseline Kind = "baseline"
	Direct   Kind = "direct" // nothing: callers reach upstreams without fencing themselves
)

// Options describe a fleet.
type Options struct {
	Shape    Shape
	Kind     Kind
	Dir      string // of logs and histories; created
	Binaries Binaries
	Rate     float64 // total requests/s, from which the limits follow
	Seed     uint64
	Relayed  bool              // links between processes go through a relay; only for a Router
	Fencing  catalogue.Fencing // of the upstreams; empty: checked for a Router, else none
}

// Fleet is a running fleet.
type Fleet struct {
	Options

	Instances []Instance
	Upstreams []Upstream
	StoreAddr string

	client  *http1.Client
	network *network // nil unless Relayed
	starter chan func()
	stopped chan struct{}

	mu        sync.Mutex
	processes map[string]*Process
	// upstreamSpecs says how to start an upstream again.
	upstreamSpecs map[fleet.UpstreamID]spec
	order         []*Process // as started
	events        []report.Event
	closed        bool
}

// Instance is a router process.
type Instance struct {
	ID       fleet.InstanceID
	Zone     fleet.ZoneID
	Caller   string // addresses
	Peer     string
	Forward  string
	Operator string
}

// Upstream is an upstream process.
type Upstream struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceID
	Zone    fleet.ZoneID
	Addr    string
}

// Name of the store's process.
const storeName = "store"

// Bounds of waiting.
const (
	startTimeout = 10 * time.Second
	readyTimeout = 30 * time.Second
	termTimeout  = 5 * time.Second
	pollEvery    = 50 * time.Millisecond
)

// Secrets of the test fleet.
const (
	fleetSecret = "test-fleet-secret-0123456789abcdef"
)

// OperatorToken is the operators' bearer token of every test fleet.
const OperatorToken = "test-operator-token"

// Client returns the client that all fleets of the process share. It is never
// closed. With a client per fleet, 3 of 32 starts failed with "use of closed
// network connection" on a new connection; with this one it happens less often.
var Client = sync.OnceValues(http1.NewClient)

// Start starts a fleet and waits until it serves. The caller must Close it. On
// an error everything has been ended.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	client, err := Client()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Options: o, client: client, starter: make(chan func()), stopped: make(chan struct{}),
		processes: make(map[string]*Process), upstreamSpecs: make(map[fleet.UpstreamID]spec),
	}
	if o.Relayed {
		if f.network, err = newNetwork(f); err != nil {
			return nil, err
		}
	}
	go f.startOnOneThread()
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

// startOnOneThread starts processes on a thread that lives as long as the fleet,
// because the kernel ends them with the thread that started them.
func (f *Fleet) startOnOneThread() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case do := <-f.starter:
			do()
		case <-f.stopped:
			return
		}
	}
}

// run starts a process under its name, which may have been used by one that has
// ended.
func (f *Fleet) run(s spec) (*Process, error) {
	var p *Process
	err := errors.New("the fleet is closed")
	ran := make(chan struct{})
	do := func() {
		defer close(ran)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.closed {
			return
		}
		if p, err = start(f.Dir, s); err == nil {
			f.processes[s.name] = p
			f.order = append(f.order, p)
		}
	}
	select {
	case f.starter <- do:
		<-ran
	case <-f.stopped:
	}
	return p, err
}

// listen starts a process and waits for the address that it prints.
func (f *Fleet) listen(ctx context.Context, s spec) (string, error) {
	p, err := f.run(s)
	if err != nil {
		return "", err
	}
	return awaitAddr(ctx, p)
}

func awaitAddr(ctx context.Context, p *Process) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case addr := <-p.listening:
		return addr, nil
	case <-p.done:
		return "", errors.Errorf("%s ended before it listened: %v; its log ends with:\n%s", p.Name, p.err, p.logEnd())
	case <-ctx.Done():
		return "", errors.Wrapf(ctx.Err(), "wait until %s listens", p.Name)
	}
}

func (f *Fleet) startStore(ctx context.Context) (err error) {
	if f.Kind == Direct {
		return nil
	}
	f.StoreAddr, err = f.listen(ctx, spec{name: storeName, path: f.Binaries.Standin, args: []string{"store"}})
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
				if advertise, err = f.network.add(string(u.ID), u.Addr); err != nil {
					return err
				}
			}
			how := f.upstreamSpec(s, u, i, advertise)
			f.upstreamSpecs[u.ID] = how
			p, err := f.run(how)
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

func (f *Fleet) upstreamSpec(s Service, u Upstream, index int, advertise string) spec {
	cold := s.Cold
	if f.Kind == Direct {
		cold = s.Slots // nobody paces direct callers while upstreams warm
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
	return spec{name: string(u.ID), path: f.Binaries.Standin, args: args}
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

// RestartUpstream starts an upstream that has ended again. It is cold.
func (f *Fleet) RestartUpstream(ctx context.Context, id fleet.UpstreamID) error {
	s, ok := f.upstreamSpecs[id]
	if !ok {
		return errors.Errorf("no upstream %q", id)
	}
	addr, err := f.listen(ctx, s)
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

// PID returns the process id of a process, or 0.
func (f *Fleet) PID(name string) int {
	if p := f.Process(name); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// Process returns a process by the name of its instance or upstream, or nil.
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

// Kill ends a process with SIGKILL and waits until it is gone. The loss of an
// upstream is recorded as an event, and the platform's list drops the process
// after its lag.
func (f *Fleet) Kill(ctx context.Context, name string) error {
	at := time.Now()
	p, err := f.signal(name, syscall.SIGKILL)
	if err != nil {
		return err
	}
	for _, u := range f.Upstreams {
		if string(u.ID) == name {
			f.event(report.Event{At: at, Kind: report.UpstreamLost, Name: name})
		}
	}
	if !p.wait(termTimeout) {
		return errors.Errorf("%s did not end after SIGKILL", name)
	}
	return f.unlist(ctx, name)
}

// Terminate asks a process to end with SIGTERM, waits until it has, and drops it
// from the platform's list.
func (f *Fleet) Terminate(ctx context.Context, name string, within time.Duration) error {
	p, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	if !p.wait(within) {
		return errors.Errorf("%s did not end within %s of SIGTERM", name, within)
	}
	return f.unlist(ctx, name)
}

// Pause stops a process with SIGSTOP.
func (f *Fleet) Pause(name string) error {
	p, err := f.signal(name, syscall.SIGSTOP)
	if err == nil {
		p.setPaused(true)
	}
	return err
}

// Resume continues a paused process.
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

func (f *Fleet) event(e report.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// Close ends every process, in the reverse order of their start: with SIGTERM, so
// that histories are complete, then with SIGKILL. Instances write no histories and
// get SIGKILL at once.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	order := f.order
	f.mu.Unlock()
	for n, group := range f.groups(order) {
		for _, p := range group {
			_ = p.signal(syscall.SIGCONT)
			if n == instanceGroup {
				// Without load nothing is cut. Instances that all drain at once have
				// nobody to hand their roles to and would wait for their timeout.
				_ = p.signal(syscall.SIGKILL)
			} else {
				_ = p.signal(syscall.SIGTERM)
			}
		}
		limit := time.Now().Add(termTimeout)
		for _, p := range group {
			if !p.wait(time.Until(limit)) {
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

// instanceGroup is the index of the instances in groups.
const instanceGroup = 1

// groups splits the processes into those that end together: load, instances,
// and what they depend on.
func (f *Fleet) groups(order []*Process) [3][]*Process {
	instances, behind := make(map[string]bool), map[string]bool{storeName: true}
	for _, i := range f.Instances {
		instances[string(i.ID)] = true
	}
	for _, u := range f.Upstreams {
		behind[string(u.ID)] = true
	}
	var out [3][]*Process
	for _, p := range order {
		switch {
		case instances[p.Name]:
			out[instanceGroup] = append(out[instanceGroup], p)
		case behind[p.Name]:
			out[2] = append(out[2], p)
		default:
			out[0] = append(out[0], p)
		}
	}
	return out
}

// Operator returns a client of an instance's operator API. The caller closes it.
func (f *Fleet) Operator(i Instance) *operator.Client {
	return operator.NewClient(f.client, i.Operator, OperatorToken)
}

// Targets returns where callers send their requests.
func (f *Fleet) Targets() (out []load.Target) {
	if f.Kind == Direct {
		for _, u := range f.Upstreams {
			out = append(out, load.Target{Name: string(u.ID), Addr: u.Addr, Service: u.Service})
		}
		return out
	}
	for _, i := range f.Instances {
		out = append(out, load.Target{Name: string(i.ID), Addr: i.Caller})
	}
	return out
}
