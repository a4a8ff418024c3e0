// Command standin plays the scripted cases of review/. It starts instances of parsleyproxy
// as processes, and the store, the upstreams and the callers that they need, all on
// loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/front"
)

const (
	memoryLimitMB = 284 // memoryMb of the site's machines
	heartbeat     = 1500 * time.Millisecond
	readyTimeout  = 15 * time.Second
	pollInterval  = 10 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	calmTime      = 4 * time.Second // longer than contact
)

// config is the operators' configuration: the example of "fleetbench wire" with the
// limits and times of the site, one service and one client account without a limit.
const config = `{"version":"0000000c","services":[
  {"name":"registro","healthPath":"/healthz","maxConns":130,"protocol":"h1","tls":false,"cold":"3s","coldPerS":6.1}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
 "tenants":[{"name":"acme","apiKeys":["key-acme"],"priority":0,"ratePerS":0,"burst":0}],
 "virtualHosts":[{"host":"kiosk.example","pathRules":[
  {"name":"checkin","prefix":"/checkin/","kind":"unsafe","timeout":"1500ms","targetLatency":"800ms","priority":1,"service":"registro","maxAttempts":2,"public":false},
  {"name":"read","prefix":"/read/","kind":"safe","timeout":"1500ms","targetLatency":"800ms","priority":2,"service":"registro","maxAttempts":2,"public":false}]}]}`

// recorder writes the record of a run.
type recorder struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// rig is a small deployment on loopback addresses.
type rig struct {
	*recorder
	program   string
	dir       string
	network   string // first three bytes of the loopback addresses
	store     *front.Store
	instances []*instance
	stop      chan struct{}
	loops     sync.WaitGroup

	mu        sync.Mutex
	upstreams []*front.Upstream
	hosts     int
}

// instance is a process of parsleyproxy and its successors.
type instance struct {
	name, ip, settings string
	bootstrap          bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newRig starts the store, which contains the operators' configuration.
func newRig(program string, out io.Writer) (*rig, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := front.StartStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store.Put("op/config", config)
	g := &rig{
		recorder: &recorder{out: out, started: time.Now()}, program: program, dir: dir, store: store, stop: make(chan struct{}),
		network: fmt.Sprintf("127.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250),
	}
	g.loops.Go(g.renewEntries)
	return g, nil
}

// close ends all processes of the rig.
func (g *rig) close() {
	close(g.stop)
	g.loops.Wait()
	for _, in := range g.instances {
		in.signal(syscall.SIGKILL)
		<-in.exited
	}
	g.store.Close()
	_ = os.RemoveAll(g.dir)
}

// host returns a loopback address that nothing else of the rig uses.
func (g *rig) host() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts++
	return fmt.Sprintf("%s.%d", g.network, g.hosts)
}

// addUpstreams starts n upstreams of the service registro and registers them.
func (g *rig) addUpstreams(n int, handler http.HandlerFunc) error {
	for i := range n {
		u, err := front.StartUpstream(front.UpstreamConfig{ID: fmt.Sprint("i-", i+1), Service: "registro", Zone: "andina-a", Addr: g.host() + ":0", Handler: handler})
		if err != nil {
			return err
		}
		g.mu.Lock()
		g.upstreams = append(g.upstreams, u)
		g.register(u)
		g.mu.Unlock()
	}
	return nil
}

func (g *rig) register(u *front.Upstream) {
	key, value := u.Registration("", false)
	g.store.PutWithTTL(key, value, 3*heartbeat)
}

// renewEntries renews the entries of the upstreams until the rig closes.
func (g *rig) renewEntries() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
		}
		g.mu.Lock()
		for _, u := range g.upstreams {
			g.register(u)
		}
		g.mu.Unlock()
	}
}

// startInstances starts n instances of a fleet that starts for the first time, and waits
// until they are ready.
func (g *rig) startInstances(n int) error {
	for i := range n {
		in := &instance{name: fmt.Sprint("front-", i+1), ip: g.host(), settings: filepath.Join(g.dir, fmt.Sprint("settings-", i+1, ".json")), bootstrap: true}
		if err := g.start(in); err != nil {
			return err
		}
		g.instances = append(g.instances, in)
	}
	for _, in := range g.instances {
		if err := in.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start writes the settings of an instance, as the platform fills in the template, and
// starts its process.
func (g *rig) start(in *instance) error {
	text, err := json.Marshal(map[string]any{
		"nodeName": in.name, "role": "front", "machineClass": "front", "serves": []string{"front", "control"}, "ip": in.ip,
		"zone": "andina-a", "region": "co-andina", "bootstrap": in.bootstrap,
		"limits":   map[string]any{"cpuShare": 0.32, "cpuCores": 1, "memoryMb": memoryLimitMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"listen":   map[string]any{"front": in.ip + ":8388", "ready": in.ip + ":8384", "control": in.ip + ":8381"},
		"platform": map[string]any{"address": g.store.Addr(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "history": "20s", "valueBytes": 1048576, "ttlMin": "1000ms"},
		"bounds":   map[string]any{"drain": "2000ms", "grace": "6s", "budgetRatio": 0.2, "budgetWindow": "10s", "budgetExtra": 64, "quotaWindow": "5s", "quotaOverage": 0.1, "quotaSlack": 20, "holdMax": "10000ms", "thawSlack": "300ms"},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.settings, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program, "front")
	cmd.Env = append(os.Environ(), "PARSLEYPROXY_BOOT="+in.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	in.bootstrap = false
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	go func() {
		_ = cmd.Wait() // returns an error for killed processes
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process unless it has exited.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	select {
	case <-in.exited: // the system may have reused its process id
	default:
		_ = in.cmd.Process.Signal(sig)
	}
}

func (in *instance) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		res, err := client.Get("http://" + in.ip + ":8384/api/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %v", in.name, readyTimeout)
}

// residentMB returns the resident memory of the process of in, 0 if it has exited.
func (in *instance) residentMB() int {
	in.mu.Lock()
	pid := in.cmd.Process.Pid
	in.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1]) // 0 is harmless
			return kb >> 10
		}
	}
	return 0
}

// enforceMemoryLimit does what the platform does to a process that exceeds memoryMb: it
// kills it, and starts it again after a short delay.
func (g *rig) enforceMemoryLimit(in *instance) {
	highest := 0
	for {
		select {
		case <-g.stop:
			g.notef("%s: highest resident memory seen %d MB", in.name, highest)
			return
		case <-time.After(pollInterval):
		}
		mb := in.residentMB()
		highest = max(highest, mb)
		if mb <= memoryLimitMB {
			continue
		}
		g.notef("%s has %d MB, more than memoryMb %d: killed", in.name, mb, memoryLimitMB)
		in.signal(syscall.SIGKILL)
		<-in.exited
		time.Sleep(restartDelay)
		if err := g.start(in); err != nil {
			g.notef("%s does not start again: %v", in.name, err)
			return
		}
	}
}
