package soak

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/front"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
)

const (
	// endlessMemory is the memory limit of the instance in MiB.
	endlessMemory = 284
	// endlessCallers is the number of callers that send a request to the faulty upstreams
	// at the same time, endlessPeerConns the number of connections of a faulty peer.
	endlessCallers   = 50
	endlessUpstreams = 32 // faulty ones, at one address
	endlessPeerConns = 256
	// endlessPhase bounds the time for which a peer sends without being closed.
	endlessPhase = 2 * time.Second
)

// endlessBytes is what a faulty peer sends in place of an answer. "{id}" in prefix stands
// for the id of the request.
type endlessBytes struct {
	name, prefix, repeated string
	times                  int              // 0: until the connection is closed
	suffix                 string           // after the last repetition
	handler                http.HandlerFunc // if not nil, sends the answer in place of the other fields
}

const endlessOK = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n"

// endlessAnswers are those of faulty upstreams; the store sends some of them too.
var endlessAnswers = []endlessBytes{
	{"head lines", endlessOK, "X-" + strings.Repeat("a", 60) + ": b\r\n", 0, "", nil},
	{"short head lines", endlessOK, "A:\r\n", 0, "", nil},
	{"one head line", endlessOK + "X: ", strings.Repeat("y", 1<<10), 0, "", nil},
	{"body to the end", endlessOK + "\r\n", strings.Repeat("x", 1<<10), 0, "", nil},
	{"chunks", endlessOK + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", 0, "", nil},
	{"chunk extension", endlessOK + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1<<10), 0, "", nil},
	{"trailers", endlessOK + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: b\r\n", 0, "", nil},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, "", nil},
	{"answers to others", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx", 0, "", nil},
	{"no answer", "", strings.Repeat("\x00\xff", 512), 0, "", nil},
	{"short body", endlessOK + "Content-Length: 1000000\r\n\r\n", "x", 1000, "", nil},
	{"large body", endlessOK + "Content-Length: 62914560\r\n\r\n", strings.Repeat("x", 1<<20), 60, "", nil},
	{"large chunked body", endlessOK + "Transfer-Encoding: chunked\r\n\r\n", "100000\r\n" + strings.Repeat("x", 1<<20) + "\r\n", 60, "", nil},
}

// endlessStoreAnswers returns answers that only the store sends, to calls that read.
func endlessStoreAnswers() []endlessBytes {
	return []endlessBytes{
		complete("items", `{"items":[1`, strings.Repeat(",1", 1<<19), 30, "]}"),
		complete("items without a key", `{"items":[{}`, strings.Repeat(`,{"rev":""}`, 1<<16), 40, "]}"),
		complete("large value", `{"value":"`, strings.Repeat("AAAA", 1<<18), 30, `"}`),
		{name: "pages", handler: endlessPages},
	}
}

// endlessReplies returns replies of a leader to reports.
func endlessReplies(t *testing.T) []endlessBytes {
	t.Helper()
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 1<<20)
	for range 512 {
		_, _ = w.Write(zeros) // writes to a bytes.Buffer do not fail
	}
	_ = w.Close()
	bomb := complete("compressed reply", packed.String(), "", 0, "")
	bomb.times = 1
	bomb.prefix = strings.Replace(bomb.prefix, "Store-Era: 1", "Content-Encoding: deflate", 1)
	return []endlessBytes{bomb, complete("evacuated zones", `{"term":1,"operator-revision":1,"evacuated":[""`, strings.Repeat(`,""`, 1000), 300, "]}")}
}

// complete returns a complete answer.
func complete(name, prefix, repeated string, times int, suffix string) endlessBytes {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n", len(prefix)+times*len(repeated)+len(suffix))
	return endlessBytes{name: name, prefix: head + prefix, repeated: repeated, times: times, suffix: suffix}
}

// endlessPages answers with pages of a list that has no last one.
func endlessPages(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(strings.TrimPrefix(r.FormValue("after"), r.FormValue("prefix")))
	w.Header().Set("Store-Era", "1")
	_, _ = io.WriteString(w, `{"currentRev":1000000,"hasMore":true,"items":[`)
	value := strings.Repeat("AAAA", 512)
	for i := range 500 {
		_, _ = fmt.Fprintf(w, `{"key":"%s%09d","rev":1,"lease":0,"value":"%s"},`, r.FormValue("prefix"), last+i+1, value)
	}
	_, _ = fmt.Fprintf(w, `{"key":"%s%09d","rev":1,"lease":0,"value":""}]}`, r.FormValue("prefix"), last+501)
}

// endlessConfig has the services desk and vault, to which the faulty upstreams belong, and
// file, of which all upstreams are sound.
const endlessConfig = `{"version":"00000003","services":[{"name":"desk"},{"name":"vault","sharded":true},{"name":"file"}],
 "tenants":[{"name":"free","apiKeys":["key-free"]}],"virtualHosts":[{"host":"h.example","pathRules":[
  {"name":"read","prefix":"/read/","kind":"safe","timeout":"500ms","targetLatency":"400ms","service":"desk","maxAttempts":2},
  {"name":"book","prefix":"/book/","kind":"unsafe","timeout":"500ms","targetLatency":"400ms","service":"desk","maxAttempts":2},
  {"name":"keys","prefix":"/keys/","kind":"safe","timeout":"500ms","targetLatency":"400ms","service":"vault","maxAttempts":2},
  {"name":"file","prefix":"/file/","kind":"unsafe","timeout":"2s","targetLatency":"1s","service":"file","maxAttempts":2}]}]}`

// endlessPeer is a faulty server. Without bytes to send it passes requests on to next.
type endlessPeer struct {
	next http.Handler

	mu      sync.Mutex
	send    []endlessBytes  // in turn; empty: none
	arrived map[string]bool // ids of the requests that got such bytes
	count   int             // of them, those without an id included
	done    chan struct{}   // closed when the bytes end
}

func (p *endlessPeer) begin(b ...endlessBytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.send, p.count, p.done = b, 0, make(chan struct{})
}

// calls returns the number of requests since begin.
func (p *endlessPeer) calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// end ends all answers and returns the number of requests since begin.
func (p *endlessPeer) end() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.done)
	p.send = nil
	return p.count
}

func (p *endlessPeer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	send, done, id := p.send, p.done, r.Header.Get("Request-Id")
	var b endlessBytes
	if len(send) > 0 {
		b = send[p.count%len(send)]
		p.arrived[id] = true
		p.count++
	}
	p.mu.Unlock()
	if len(send) == 0 {
		p.next.ServeHTTP(w, r)
		return
	}
	if b.handler != nil {
		b.handler(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	b.write(conn, id, done)
}

// write writes until an error, or until done is closed.
func (b endlessBytes) write(conn net.Conn, id string, done <-chan struct{}) {
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-done:
			_ = conn.SetDeadline(time.Unix(1, 0))
		case <-stop:
		}
	}()
	block := b.repeated
	if b.times == 0 {
		block = strings.Repeat(block, 1+(64<<10)/len(block))
	}
	_, err := io.WriteString(conn, strings.ReplaceAll(b.prefix, "{id}", id))
	for i := 0; err == nil && (b.times == 0 || i < b.times); i++ {
		_, err = io.WriteString(conn, block)
	}
	if err == nil {
		_, err = io.WriteString(conn, b.suffix)
	}
	if err == nil {
		<-done // hangs
	}
}

// startEndless starts a faulty server on addr and returns its address.
func startEndless(t *testing.T, addr string, next http.Handler) (*endlessPeer, string) {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	p := &endlessPeer{next: next, arrived: make(map[string]bool)}
	server := &http.Server{Handler: p, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return p, ln.Addr().String()
}

// endlessEnv is an instance with a memory limit among faulty peers.
type endlessEnv struct {
	t         *testing.T
	in        *instance
	store     *standin.Store
	lists     *endlessPeer // between the instance and the store
	upstreams *endlessPeer
	faulty    string // address of the faulty upstreams
	lastID    atomic.Int64
	peak      int // bytes
}

// newEndlessEnv starts an instance. If leader is not empty, the store names a leader at that
// address.
func newEndlessEnv(t *testing.T, leader string) *endlessEnv {
	t.Helper()
	network := fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, runsStarted.Add(1)%250)
	e := &endlessEnv{t: t, in: &instance{name: "front-1", ip: network + ".1", env: &testEnv{t: t, dir: t.TempDir()}}}
	var err error
	if e.store, err = standin.StartStore("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.store.Close)
	e.store.Put("op/config", endlessConfig)
	if leader != "" {
		e.store.Put("parsley/leader", "front-9 "+leader+" 1/1")
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: e.store.Addr()})
	proxy.ErrorLog, proxy.ErrorHandler = nil, func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	var storeAddr string
	e.lists, storeAddr = startEndless(t, network+".250:0", proxy)
	e.upstreams, e.faulty = startEndless(t, network+".250:0", http.NotFoundHandler())
	for i := range 6 {
		service := []string{"desk", "vault", "file"}[i%3]
		u, err := standin.StartUpstream(standin.UpstreamConfig{ID: fmt.Sprint("u", i), Service: service, Zone: "z1", Sharded: service == "vault", Slots: 32, Addr: network + ".250:0", ServiceTime: 5 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Crash)
		e.store.Put(u.Registration("", false))
	}
	text := fmt.Sprintf(`{"nodeName":"front-1","zone":"z1","bootstrap":%[4]t,"listen":{"front":"%[1]s:8388","ready":"%[1]s:8384","control":"%[1]s:8381"},
 "limits":{"memoryMb":%[2]d,"cpuShare":1,"cpuCores":1},"platform":{"address":"%[3]s","ttlMin":"1000ms"},
 "bounds":{"grace":"6s","budgetRatio":0.2,"budgetExtra":600,"budgetWindow":"10s","quotaWindow":"5s","quotaOverage":0.1,"quotaSlack":20,"holdMax":"10000ms"}}`, e.in.ip, endlessMemory, storeAddr, leader == "")
	if err := os.WriteFile(e.in.settingsPath(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	e.in.start()
	t.Cleanup(e.in.kill)
	for ready := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if e.in.probe(); e.in.ready {
			break
		}
		if time.Now().After(ready) {
			t.Fatal("the instance is not ready after 10 s")
		}
	}
	return e
}

// send sends one request and returns the status of its complete answer.
func (e *endlessEnv) send(client *http.Client, entry string, key int) (id string, status int, err error) {
	id = fmt.Sprint("r", e.lastID.Add(1))
	method := http.MethodGet
	if entry == "book" || entry == "file" {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.in.ip+":8388/"+entry+"/"+id, http.NoBody)
	if err != nil {
		return id, 0, err
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline-Ms", "2000")
	req.Header.Set("Api-Key", "key-free")
	req.Header.Set("Shard-Key", strconv.Itoa(key))
	res, err := client.Do(req)
	if err != nil {
		return id, 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return id, res.StatusCode, err
}

// register adds faulty upstreams with new ids, for which no failures are known, and
// returns the function that removes them.
func (e *endlessEnv) register(phase int) (remove func()) {
	var keys []string
	for i := range endlessUpstreams {
		key := fmt.Sprintf("servers/f%d-%d", phase, i)
		e.store.Put(key, fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":"v1","zone":"z1","slots":32},"status":{"state":"ready","seq":1,"coldLeft":"0ms"}}`,
			time.Now().Add(-time.Minute).UnixMilli(), e.faulty, []string{"desk", "vault"}[i%2]))
		keys = append(keys, key)
	}
	return func() {
		for _, key := range keys {
			e.store.Remove(key)
		}
	}
}

// measure records the peak memory of the process, and fails the test if the process has
// ended or exceeded its limit.
func (e *endlessEnv) measure(phase string, n int) {
	e.t.Helper()
	peak, err := lab.PeakMemory(e.in.cmd.Process.Pid)
	if err != nil {
		e.t.Fatalf("%s: the instance has ended: %v", phase, err)
	}
	e.t.Logf("%-30s %4d calls, peak memory so far %3d MiB", phase, n, peak>>20)
	if peak > endlessMemory<<20 && e.peak <= endlessMemory<<20 {
		e.t.Errorf("%s: peak memory %d MiB, the limit is %d MiB", phase, peak>>20, endlessMemory)
	}
	e.peak = max(e.peak, peak)
}

// callInTurn sends requests on one kept connection until stop is closed. Each has to be
// answered.
func (e *endlessEnv) callInTurn(stop <-chan struct{}) (answered int) {
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	for {
		select {
		case <-stop:
			return answered
		case <-time.After(20 * time.Millisecond):
		}
		if id, status, err := e.send(client, "file", 0); err != nil || status == 0 {
			e.t.Errorf("request %s of another caller: status %d, %v", id, status, err)
		} else {
			answered++
		}
	}
}

// sendAll sends a request of each of endlessCallers at the same time, and checks that those
// that reached a faulty upstream and must not be repeated are not said not to have run.
func (e *endlessEnv) sendAll(phase string) {
	var g sync.WaitGroup
	for i := range endlessCallers {
		g.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			entry := []string{"read", "book", "keys"}[i%3]
			id, status, err := e.send(client, entry, i*1000)
			e.upstreams.mu.Lock()
			arrived := e.upstreams.arrived[id]
			e.upstreams.mu.Unlock()
			cr := callerRequest{status: status}
			if arrived && entry == "book" && cr.promisesNotRun() {
				e.t.Errorf("%s: status %d for request %s, which reached an upstream", phase, status, id)
			}
			if status == 0 {
				e.t.Errorf("%s: request %s (%s): %v", phase, id, entry, err)
			}
		})
	}
	g.Wait()
}

// whileOthersCall runs f while other callers send requests that concern no faulty peer, and
// checks that each of these is answered and that the process stays within its memory.
func (e *endlessEnv) whileOthersCall(f func()) {
	stop := make(chan struct{})
	var others sync.WaitGroup
	var answered atomic.Int64
	for range 4 {
		others.Go(func() { answered.Add(int64(e.callInTurn(stop))) })
	}
	f()
	close(stop)
	others.Wait()
	e.measure("end", 0)
	e.t.Logf("%d requests of other callers were answered", answered.Load())
	if answered.Load() == 0 {
		e.t.Error("no request of other callers was answered")
	}
	if e.t.Failed() && *keepDir != "" {
		if err := os.CopyFS(filepath.Join(*keepDir, filepath.Base(e.t.Name())), os.DirFS(e.in.env.dir)); err != nil {
			e.t.Error(err)
		}
	}
}

// Guards against bytes without end from an upstream, the store or another instance that
// take the memory of the process, and with it the requests of all callers.
func TestBytesWithoutEndStayWithinMemory(t *testing.T) {
	t.Run("upstreams", func(t *testing.T) {
		t.Parallel()
		e := newEndlessEnv(t, "")
		e.whileOthersCall(func() {
			for n, b := range endlessAnswers {
				remove := e.register(n)
				e.upstreams.begin(b)
				time.Sleep(600 * time.Millisecond) // the list of upstreams is read every 500 ms
				e.sendAll(b.name)
				remove()
				e.measure(b.name, e.upstreams.end())
			}
		})
	})
	t.Run("store", func(t *testing.T) {
		t.Parallel()
		e := newEndlessEnv(t, "")
		e.whileOthersCall(func() {
			for _, b := range append(endlessStoreAnswers(), endlessAnswers[1], endlessAnswers[3]) {
				e.lists.begin(b)
				time.Sleep(endlessPhase)
				e.measure(b.name, e.lists.end())
			}
		})
	})
	t.Run("requests of an instance", func(t *testing.T) {
		t.Parallel()
		e := newEndlessEnv(t, "")
		e.whileOthersCall(func() {
			for _, b := range []endlessBytes{
				{name: "report", prefix: "POST /reports HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n", repeated: strings.Repeat(" ", 1<<16), times: 60},
				{name: "chunked report", prefix: "POST /reports HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", repeated: "400\r\n" + strings.Repeat(" ", 1<<10) + "\r\n"},
				{name: "head lines", prefix: "GET /leader HTTP/1.1\r\nHost: h\r\n", repeated: "A: b\r\n"},
			} {
				for _, port := range []string{"8381", "8384"} {
					e.attack(b, port)
				}
			}
		})
	})
	t.Run("replies of a leader", func(t *testing.T) {
		t.Parallel()
		leader, addr := startEndless(t, "127.0.0.1:0", http.NotFoundHandler())
		e := newEndlessEnv(t, addr)
		e.whileOthersCall(func() {
			replies := append(endlessReplies(t), endlessAnswers[1], endlessAnswers[3], endlessAnswers[4], endlessAnswers[7])
			leader.begin(replies...)
			for end := time.Now().Add(25 * time.Second); leader.calls() < len(replies) && time.Now().Before(end); {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(endlessPhase / 4) // for the last reply
			n := leader.end()
			e.measure("replies", n)
			if n < len(replies) {
				t.Errorf("the instance sent %d reports, want at least %d", n, len(replies))
			}
		})
	})
}

// attack sends b to a port of the instance on many connections.
func (e *endlessEnv) attack(b endlessBytes, port string) {
	done, ended := make(chan struct{}), make(chan struct{})
	var g sync.WaitGroup
	for range endlessPeerConns {
		g.Go(func() {
			conn, err := net.Dial("tcp", e.in.ip+":"+port)
			if err != nil {
				return // too many connections
			}
			defer func() { _ = conn.Close() }()
			b.write(conn, "", done)
		})
	}
	go func() { g.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(endlessPhase):
	}
	close(done)
	<-ended
	e.measure(b.name+" to port "+port, endlessPeerConns)
}
