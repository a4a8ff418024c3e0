package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callerRequest is a request and its response as the caller observed them.
type callerRequest struct {
	id, entry, account, callerKey string
	instance                      *instance
	sentAt, endedAt               time.Time
	status                        int // 0: no complete response
	body, seal                    string
	err                           error
}

// promisesNotRun reports whether the status guarantees that no upstream executes the
// request.
func (cr *callerRequest) promisesNotRun() bool {
	return cr.status == 429 || cr.status == 503 || cr.status == 408 || cr.status == 421
}

// callerPool is a set of concurrent callers that send requests continuously over
// persistent connections, and records every request.
type callerPool struct {
	env    *testEnv
	lastID atomic.Int64

	mu       sync.Mutex
	requests []*callerRequest
}

const (
	callerCount     = 16
	meanCallerPause = 40 * time.Millisecond // mean of the exponentially distributed pause before each request of a caller
	callerTimeout   = 2 * time.Second       // of a request, also sent as its deadline
)

// run runs all callers until stop is closed.
func (c *callerPool) run(seed uint64, stop <-chan struct{}) {
	var g sync.WaitGroup
	for i := range callerCount {
		g.Add(1)
		go func() {
			defer g.Done()
			c.runCaller(rand.New(rand.NewPCG(seed, uint64(i)+10)), stop)
		}()
	}
	g.Wait()
}

// runCaller sends the requests of one caller. It stays with an instance while that is
// ready, as a persistent connection does, and changes to a random instance otherwise
// and for 1 % of requests.
func (c *callerPool) runCaller(rng *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callerTimeout}
	in := c.env.instances[rng.IntN(len(c.env.instances))]
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanCallerPause))):
		}
		in.mu.Lock()
		ready := in.ready
		in.mu.Unlock()
		if !ready || rng.IntN(100) == 0 {
			in = c.env.instances[rng.IntN(len(c.env.instances))]
		}
		c.send(rng, client, in)
	}
}

// send sends a random request to an instance and records the result.
func (c *callerPool) send(rng *rand.Rand, client *http.Client, in *instance) {
	cr := &callerRequest{id: fmt.Sprint("r", c.lastID.Add(1)), instance: in}
	cr.account = []string{"free", "free", "free", "acme", "acme", "tiny"}[rng.IntN(6)]
	cr.entry = []string{"read", "book", "keys"}[rng.IntN(3)]
	c.env.mu.Lock()
	cr.callerKey = c.env.config.accounts[cr.account].key
	c.env.mu.Unlock()
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if cr.entry == "book" {
		method, body = http.MethodPost, strings.NewReader("order of "+cr.id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.ip+":8388/"+cr.entry+"/"+cr.account+"/"+cr.id, body)
	if err != nil {
		c.env.t.Error(err)
		return
	}
	req.GetBody = nil // keeps http.Client from retrying the request
	req.Host = "h.example"
	req.Header.Set("Request-Id", cr.id)
	req.Header.Set("Request-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	req.Header.Set("Api-Key", cr.callerKey)
	req.Header.Set("Tenant", "forged")
	if cr.entry == "keys" {
		req.Header.Set("Shard-Key", strconv.Itoa(rng.IntN(1<<16)))
	}
	cr.sentAt = time.Now()
	res, err := client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err == nil {
			cr.status, cr.body, cr.seal = res.StatusCode, string(b), res.Header.Get("Server-Seal")
		}
	}
	cr.err, cr.endedAt = err, time.Now()
	c.mu.Lock()
	c.requests = append(c.requests, cr)
	c.mu.Unlock()
}
