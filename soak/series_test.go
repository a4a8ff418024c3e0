package soak

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	seriesSeeds     = flag.Int("series-seeds", 3, "number of runs of TestSeries, each with the next seed")
	seriesFirst     = flag.Uint64("series-first", 1, "seed of the first run of TestSeries")
	seriesInstances = flag.Int("series-instances", 3, "number of processes of the router in TestSeries")
	seriesDuration  = flag.Duration("series-length", 6*time.Second, "time during which TestSeries makes changes and sends signals")
)

// lossSlack is the time that an instance has to read a request. A connection that ends later
// than that after the last byte of a request must not end without an answer.
const lossSlack = 200 * time.Millisecond

// callerKind is how a caller uses its connections.
type callerKind string

// All kinds of callers.
const (
	keptConn      callerKind = "kept"        // one request at a time
	pipelinedConn callerKind = "pipelined"   // several requests in one write
	halfClosing   callerKind = "half-closed" // closes its sending side after one to three requests
	closingConn   callerKind = "closing"     // one request, with Connection: close
)

// seriesCallers send requests over connections of their own to one instance each, until stop
// is closed.
type seriesCallers struct {
	env    *testEnv
	stop   chan struct{}
	lastID atomic.Int64

	mu       sync.Mutex
	requests []*callerRequest
	lost     []string                      // connections that ended without an answer
	outcomes map[callerKind]map[string]int // number of requests by result
}

// run sends requests of one kind to in.
func (c *seriesCallers) run(rng *rand.Rand, in *instance, kind callerKind) {
	var conn *net.TCPConn
	var r *bufio.Reader
	hangUp := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer hangUp()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond))):
		}
		if conn == nil {
			dialled, err := net.DialTimeout("tcp", in.ip+":8388", time.Second)
			if err != nil {
				continue // the instance restarts
			}
			conn, r = dialled.(*net.TCPConn), bufio.NewReader(dialled)
		}
		if !c.exchange(rng, conn, r, in, kind) {
			hangUp()
		}
	}
}

// exchange sends one or more requests and reads their responses. It reports whether the
// connection can be used again.
func (c *seriesCallers) exchange(rng *rand.Rand, conn *net.TCPConn, r *bufio.Reader, in *instance, kind callerKind) bool {
	n := 1
	if kind == pipelinedConn || kind == halfClosing {
		n = 1 + rng.IntN(3)
	}
	var requests []*callerRequest
	var text strings.Builder
	for range n {
		cr := c.newRequest(rng, in)
		requests = append(requests, cr)
		text.WriteString(requestText(cr, kind))
	}
	_ = conn.SetDeadline(time.Now().Add(callerTimeout + maxSplitPause))
	err := writeRequests(rng, conn, text.String(), kind)
	for _, cr := range requests {
		cr.sentAt = time.Now()
	}
	if err == nil && kind == halfClosing {
		err = conn.CloseWrite()
	}
	reusable := kind == keptConn || kind == pipelinedConn
	for i, cr := range requests {
		closes := false
		if err == nil {
			closes, err = readResponse(r, cr)
		}
		cr.err, cr.endedAt = err, time.Now()
		c.record(cr, kind, i > 0)
		if closes || err != nil {
			reusable = false
		}
		if closes && err == nil {
			err = io.EOF // the connection ends before the later responses
		}
	}
	return reusable
}

// maxSplitPause bounds the pause between the two parts in which some requests are sent.
const maxSplitPause = 60 * time.Millisecond

// writeRequests writes text to conn, a quarter of the requests of a kept connection in two
// parts.
func writeRequests(rng *rand.Rand, conn *net.TCPConn, text string, kind callerKind) error {
	if kind == keptConn && rng.IntN(4) == 0 {
		n := rng.IntN(len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxSplitPause))))
		text = text[n:]
	}
	_, err := io.WriteString(conn, text)
	return err
}

// newRequest returns a random request to in that has not been sent.
func (c *seriesCallers) newRequest(rng *rand.Rand, in *instance) *callerRequest {
	cr := &callerRequest{id: fmt.Sprint("s", c.lastID.Add(1)), instance: in, entry: []string{"read", "book"}[rng.IntN(2)], account: "free"}
	if rng.IntN(10) == 0 {
		cr.account = "acme"
	}
	c.env.mu.Lock()
	cr.callerKey = c.env.config.accounts[cr.account].key
	c.env.mu.Unlock()
	return cr
}

// requestText returns the bytes of a request.
func requestText(cr *callerRequest, kind callerKind) string {
	method, body := http.MethodGet, ""
	if cr.entry == "book" {
		method, body = http.MethodPost, "order of "+cr.id
	}
	head := fmt.Sprintf("%s /%s/%s/%s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nRequest-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n",
		method, cr.entry, cr.account, cr.id, cr.id, callerTimeout.Milliseconds(), cr.callerKey, len(body))
	if kind == closingConn {
		head += "Connection: close\r\n"
	}
	return head + "\r\n" + body
}

// readResponse reads the response to cr, and reports whether the connection closes after it.
func readResponse(r *bufio.Reader, cr *callerRequest) (closes bool, err error) {
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return false, err
		}
		b, err := io.ReadAll(res.Body)
		if err != nil {
			return false, err
		}
		if res.StatusCode >= http.StatusOK {
			cr.status, cr.body, cr.seal = res.StatusCode, string(b), res.Header.Get("Server-Seal")
			return res.Close, nil
		}
	}
}

// record records the result of a request. behind tells that another request was sent before
// it on its connection without waiting for the response.
func (c *seriesCallers) record(cr *callerRequest, kind callerKind, behind bool) {
	c.env.executions.mu.Lock()
	executed := len(c.env.executions.byRequestID[cr.id]) > 0
	c.env.executions.mu.Unlock()
	took := cr.endedAt.Sub(cr.sentAt)
	var timeout interface{ Timeout() bool }
	result, lost := fmt.Sprint(cr.status), false
	switch {
	case cr.err == nil:
	case errors.As(cr.err, &timeout) && timeout.Timeout():
		result, lost = "no answer", true
	case executed:
		result, lost = "cut off after it was passed on", true
	case behind:
		result = "behind another one, not passed on"
	case took > lossSlack && !errors.Is(cr.err, syscall.ECONNRESET) && !errors.Is(cr.err, syscall.EPIPE):
		result, lost = "closed without an answer", true
	case took > lossSlack:
		result = "reset late, not passed on"
	default:
		result = "crossed the close, not passed on"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, cr)
	if c.outcomes[kind] == nil {
		c.outcomes[kind] = make(map[string]int)
	}
	c.outcomes[kind][result]++
	if lost {
		c.lost = append(c.lost, fmt.Sprintf("%s (%s, %s, %s, sent at %.3f s): %s after %v: %v", cr.id, cr.entry, kind, cr.instance.name, cr.sentAt.Sub(c.env.startedAt).Seconds(), result, took, cr.err))
	}
}

// varyExecution lets an upstream execute each request for a time of 5 to 300 ms that depends on
// the request's id.
func (u *upstream) varyExecution(env *testEnv) {
	u.SetHandler(func(w http.ResponseWriter, r *http.Request) {
		env.executions.recordStart(env, u, r)
		h := fnv.New32a()
		_, _ = io.WriteString(h, r.Header.Get("Request-Id"))
		sum := h.Sum32()
		select {
		case <-time.After(time.Duration(5+sum%296) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.Header().Set("Server-Seal", "seal-"+u.ID())
		_, _ = io.WriteString(w, "by "+u.ID())
	})
}

// changeRouting moves the routes to random services and draws other time limits.
func (env *testEnv) changeRouting() {
	services, timeouts, idle := []string{"desk", "annex"}, []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}, []time.Duration{5 * time.Second, 15 * time.Second}
	r := routing{services[env.rng.IntN(2)], services[env.rng.IntN(2)], timeouts[env.rng.IntN(3)], idle[env.rng.IntN(2)]}
	env.mu.Lock()
	env.config = env.config.withRouting(r)
	next := env.config
	env.mu.Unlock()
	env.store.Put("op/config", next.encode())
	env.logFault("configuration %d: %+v", next.version, r)
}

// changeSettings changes the settings of an instance, and sends SIGHUP if signalled is set.
func (env *testEnv) changeSettings(in *instance, signalled bool) {
	in.mu.Lock()
	in.settingsChanges++
	in.mu.Unlock()
	in.writeSettings(false)
	env.logFault("changed settings of %s", in.name)
	if signalled {
		env.hangUp(in)
	}
}

// handlerTime is the time within which a new process handles SIGHUP, on a loaded machine.
// Go cannot handle signals from the first moment on.
const handlerTime = 50 * time.Millisecond

// hangUp sends SIGHUP to a process, unless it has just started.
func (env *testEnv) hangUp(in *instance) {
	in.mu.Lock()
	age := time.Since(in.processAt)
	in.mu.Unlock()
	if age < handlerTime {
		return
	}
	env.logFault("SIGHUP %s", in.name)
	in.signal(syscall.SIGHUP)
}

// changeSeries makes one change after another for a time d: configurations, settings with
// and without SIGHUP, SIGHUP alone, and SIGTERM with a restart of one instance at a time.
func (env *testEnv) changeSeries(d time.Duration) {
	var g sync.WaitGroup
	defer g.Wait()
	var restarting sync.Mutex
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(env.randomDuration(20*time.Millisecond, 200*time.Millisecond)) {
		in := env.anyInstance()
		switch n := env.rng.IntN(10); {
		case n < 3:
			env.changeRouting()
		case n < 5:
			env.changeConfig(&g)
		case n < 6:
			env.hangUp(in)
		case n < 8:
			env.changeSettings(in, env.rng.IntN(2) == 0)
		case restarting.TryLock():
			g.Add(1)
			go func() {
				defer g.Done()
				defer restarting.Unlock()
				var done sync.WaitGroup
				env.terminate(in, &done)
				done.Wait()
			}()
		default: // another instance restarts
			env.logFault("second SIGTERM %s", in.name)
			in.signalDraining(syscall.SIGTERM)
		}
	}
}

// signalDraining sends a signal to an instance that shuts down already.
func (in *instance) signalDraining(sig syscall.Signal) {
	in.mu.Lock()
	draining := in.faultActive
	in.mu.Unlock()
	if draining {
		in.signal(sig)
	}
}

// callersOfKind is the number of callers of each kind at each instance.
const callersOfKind = 2

// Guards against requests that end without an answer or run twice beside series of planned
// work: changes of the configuration and the settings, signals and restarts.
func TestSeries(t *testing.T) {
	for i := range *seriesSeeds {
		seed := *seriesFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSeries(t, seed)
		})
	}
}

func runSeries(t *testing.T, seed uint64) {
	env := newTestEnv(t, seed, *seriesInstances)
	for range 4 {
		env.addUpstream("annex", zoneForIndex(env.upstreamCount))
	}
	for _, u := range env.currentUpstreams() {
		if u.service != "vault" {
			u.varyExecution(env)
		}
	}
	maintenance := make(chan struct{})
	c := &seriesCallers{env: env, stop: make(chan struct{}), outcomes: make(map[callerKind]map[string]int)}
	go func() {
		defer close(maintenance)
		env.maintain(c.stop)
	}()
	for _, in := range env.instances {
		if !in.awaitLog("instance is ready", startupTime) {
			t.Errorf("%s is not ready after %v", in.name, startupTime)
		}
	}
	var callers sync.WaitGroup
	kinds := []callerKind{keptConn, pipelinedConn, halfClosing, closingConn}
	for i, in := range env.instances {
		for j := range callersOfKind * len(kinds) {
			callers.Add(1)
			go func() {
				defer callers.Done()
				c.run(rand.New(rand.NewPCG(seed, uint64(100*i+j)+10)), in, kinds[j%len(kinds)])
			}()
		}
	}
	env.changeSeries(*seriesDuration)
	close(c.stop)
	callers.Wait()
	<-maintenance
	violations := append(env.checkRequests(c.requests), c.lost...)
	for _, kind := range kinds {
		t.Logf("%s: %v", kind, c.outcomes[kind])
		if c.outcomes[kind]["200"] == 0 {
			violations = append(violations, fmt.Sprintf("no request of kind %s was served", kind))
		}
	}
	for _, in := range env.instances {
		select {
		case <-in.exited:
			violations = append(violations, in.name+" has ended by itself")
		default:
		}
	}
	if len(violations) > 0 {
		t.Errorf("%d guarantees broken:\n%s\nchanges:\n%s", len(violations), strings.Join(violations[:min(len(violations), 20)], "\n"), strings.Join(env.faultLog, "\n"))
		env.keepLogs(seed)
	}
}
