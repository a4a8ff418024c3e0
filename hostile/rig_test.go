// Package hostile tests that clients which the operators do not control neither end an
// instance nor keep it from serving ordinary callers. Its tests run one after the other.
package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/front"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
	"github.com/parsleyproxy/parsleyproxy/platform"
)

// Settings of the instance. The bounds of the checks follow from them: its resident memory
// stays within memoryMb, its open descriptors within maxFds.
const (
	memoryMb = 128
	maxFds   = 600
	maxBody  = 1 << 20 // bytes, limit of the operators
	host     = "h.example"
	// servedBeside is the number of ordinary requests that have to be answered beside a crowd.
	servedBeside = 20
	// awaitTimeout bounds the wait for a condition; it decides nothing else.
	awaitTimeout = 60 * time.Second
)

const config = `{"version":"1","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
 "services":[{"name":"s","healthPath":"/healthz","maxConns":200,"protocol":"h1","tls":false,"cold":"0s","coldPerS":100}],
 "tenants":[{"name":"acme","apiKeys":["key"],"priority":0,"ratePerS":0,"burst":0}],
 "virtualHosts":[{"host":"h.example","pathRules":[{"name":"r","prefix":"/served/","kind":"unsafe","timeout":"6s","targetLatency":"1s","priority":1,"service":"s","maxAttempts":2,"public":false}]}]}`

// program is the path of the built program.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	b, err := lab.FindBinaries(context.Background(), dir)
	if err != nil {
		panic(err)
	}
	program = b.Proxy
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// target is where a client sends its requests.
type target struct {
	name, addr, path string
}

// rig is an instance with a store and two upstreams.
type rig struct {
	t       *testing.T
	store   *standin.Store
	ip      string
	cmd     *exec.Cmd
	log     string
	exited  chan struct{}
	maxFds  atomic.Int64 // most open descriptors of the instance that were seen
	request atomic.Int64
}

// targets are a served path, a path without a route, and the readiness path.
func (r *rig) targets() []target {
	return []target{
		{"served", r.ip + ":8388", "/served/a"},
		{"no-route", r.ip + ":8388", "/elsewhere"},
		{"readiness", r.ip + ":8384", "/api/readyz"},
	}
}

// answer is the handler of the upstreams: the response has as many bytes as the query asks for.
func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	w.Header().Set("Content-Length", strconv.Itoa(size+1))
	_, _ = w.Write(make([]byte, size+1))
}

var ipCount atomic.Int64

func startRig(t *testing.T) *rig {
	t.Helper()
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	store.Put("op/config", config)
	for i := range 2 {
		u, err := standin.StartUpstream(standin.UpstreamConfig{ID: fmt.Sprint("i-", i), Service: "s", Zone: "z1", Slots: 64, Addr: "127.0.0.1:0", Handler: answer})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Crash)
		key, value := u.Registration("", false)
		store.Put(key, value)
	}
	r := &rig{t: t, store: store, exited: make(chan struct{}), ip: fmt.Sprintf("127.%d.%d.%d", 170+os.Getpid()/250%80, 1+os.Getpid()%250, 1+ipCount.Add(1)%250)}
	dir := t.TempDir()
	settings, err := json.Marshal(map[string]any{
		"nodeName": "front-1", "zone": "z1", "bootstrap": true,
		"limits":   map[string]any{"cpuShare": 1, "cpuCores": 1, "memoryMb": memoryMb, "maxFds": maxFds, "linkMbps": 10},
		"listen":   map[string]any{"front": r.ip + ":8388", "ready": r.ip + ":8384", "control": r.ip + ":8381"},
		"platform": map[string]any{"address": store.Addr(), "ttlMin": "1000ms"},
		"bounds":   map[string]any{"grace": "6s", "budgetRatio": 0.2, "budgetWindow": "10s", "budgetExtra": 64, "quotaWindow": "5s", "quotaOverage": 0.1, "quotaSlack": 20, "holdMax": "10000ms", "thawSlack": "300ms"},
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	r.log = filepath.Join(dir, "front.log")
	log, err := os.Create(r.log)
	if err != nil {
		t.Fatal(err)
	}
	r.cmd = exec.Command(program, "front", "--log-level", "warn")
	r.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	go func() { _ = r.cmd.Wait(); close(r.exited) }()
	t.Cleanup(func() { _ = r.cmd.Process.Kill(); <-r.exited })
	r.await("the instance is ready", func() bool { return r.ready() == nil })
	return r
}

// await waits until condition holds.
func (r *rig) await(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(awaitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || !r.alive() {
			r.t.Fatalf("not seen: %s; process alive: %t; log:\n%s", what, r.alive(), r.logTail())
		}
	}
}

func (r *rig) alive() bool {
	select {
	case <-r.exited:
		return false
	default:
		return true
	}
}

func (r *rig) logTail() string {
	text, _ := os.ReadFile(r.log)
	return string(text[max(0, len(text)-2000):])
}

// get sends one request on a new connection from an address that no crowd uses.
func (r *rig) get(method, url string, body io.Reader) error {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}, Timeout: 2 * time.Second}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set("Request-Id", fmt.Sprint("ordinary-", r.request.Add(1)))
	req.Header.Set("Request-Deadline-Ms", "5000")
	req.Header.Set("Api-Key", "key")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

func (r *rig) ready() error { return r.get(http.MethodGet, "http://"+r.ip+":8384/api/readyz", nil) }

// serves waits until an ordinary request and a readiness check are answered.
func (r *rig) serves(when string) {
	r.t.Helper()
	r.await("an ordinary request is answered "+when, func() bool {
		return r.get(http.MethodPost, "http://"+r.ip+":8388/served/ordinary", strings.NewReader(strings.Repeat("x", 4000))) == nil
	})
	r.await("a readiness check is answered "+when, func() bool { return r.ready() == nil })
}

// watchDescriptors samples the open descriptors of the instance until stop is closed.
func (r *rig) watchDescriptors(stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid)); err == nil {
			r.maxFds.Store(max(r.maxFds.Load(), int64(len(names))))
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// attack runs a crowd of clients, each again when its connection ends, and checks the
// instance while they are connected and afterwards. The crowd counts as complete once each
// client has sent what it sends.
func (r *rig) attack(clients int, client func(ctx context.Context, n int, sent func())) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var crowd, watch sync.WaitGroup
	stop := make(chan struct{})
	watch.Go(func() { r.watchDescriptors(stop) })
	var complete atomic.Int64
	for n := range clients {
		crowd.Go(func() {
			var once sync.Once
			for ctx.Err() == nil {
				client(ctx, n, func() { once.Do(func() { complete.Add(1) }) })
				once.Do(func() { complete.Add(1) }) // was refused before it could send all
				select {
				case <-ctx.Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
		})
	}
	end := func() {
		cancel()
		crowd.Wait()
		select {
		case <-stop:
		default:
			close(stop)
		}
		watch.Wait()
	}
	defer end()
	r.await("the crowd is complete", func() bool { return complete.Load() == int64(clients) })
	for range servedBeside {
		r.serves("beside the crowd")
	}
	end()
	r.serves("after the crowd")
	if !r.alive() {
		r.t.Fatalf("the process has ended:\n%s", r.logTail())
	}
	peak, err := lab.PeakMemory(r.cmd.Process.Pid)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Logf("peak memory %d MiB, at most %d descriptors", peak>>20, r.maxFds.Load())
	if peak > memoryMb<<20 {
		r.t.Errorf("peak memory %d MiB, limit %d MiB", peak>>20, memoryMb)
	}
	if n := r.maxFds.Load(); n > maxFds {
		r.t.Errorf("%d open descriptors, limit %d", n, maxFds)
	}
}
