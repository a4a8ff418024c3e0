package direct

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// countingInstance is an instance of an accountFleet.
type countingInstance struct {
	*Router
	tokenRequests atomic.Int64                            // requests for tokens that it received
	delay         atomic.Pointer[func() <-chan time.Time] // before it reads such a request; nil for none
	server        *httptest.Server
}

// accountFleet is a fleet of in-process instances with one account, whose limit one of them
// counts. sent and admitted are the times of requests.
type accountFleet struct {
	account   routes.Account
	instances []*countingInstance
	homes     []*countingInstance // of the account, in order

	mu       sync.Mutex
	admitted []time.Time
	sent     int
}

func newAccountFleet(t *testing.T, n int, limit fleet.Limit) *accountFleet {
	t.Helper()
	f := &accountFleet{account: routes.Account{ID: "small", Limit: limit}}
	table := routes.NewTable(1, nil, []routes.Account{f.account}, nil, nil)
	var peers []fleet.Peer
	for i := range n {
		r, _ := newRouter(t, fleet.InstanceID(fmt.Sprint("i", i)))
		r.operatorState.Store(&OperatorState{Table: table})
		c := &countingInstance{Router: r}
		c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == tokensPath {
				c.tokenRequests.Add(1)
				if delay := c.delay.Load(); delay != nil {
					<-(*delay)()
				}
			}
			c.servePeer(w, req)
		}))
		t.Cleanup(c.server.Close)
		f.instances = append(f.instances, c)
		peers = append(peers, fleet.Peer{ID: r.cfg.Instance, Addr: c.server.Listener.Addr().String()})
	}
	for _, c := range f.instances {
		c.setInstances(peers)
	}
	for _, p := range rendezvous(string(f.account.ID), peers, homesPerKey) {
		for _, c := range f.instances {
			if c.cfg.Instance == p.ID {
				f.homes = append(f.homes, c)
			}
		}
	}
	return f
}

// send sends requests through all instances for the time d, at each one the given number of
// requests per second.
func (f *accountFleet) send(t *testing.T, d time.Duration, perInstance int) {
	t.Helper()
	var all sync.WaitGroup
	end := time.After(d)
	tick := time.NewTicker(time.Second / time.Duration(perInstance))
	defer tick.Stop()
	for {
		select {
		case <-end:
			all.Wait()
			return
		case <-tick.C:
		}
		for _, c := range f.instances {
			all.Go(func() {
				now := time.Now()
				ok, _ := c.withinLimit(t.Context(), &exchange{account: f.account, receivedAt: now})
				f.mu.Lock()
				defer f.mu.Unlock()
				f.sent++
				if ok {
					f.admitted = append(f.admitted, now)
				}
			})
		}
	}
}

// Guards against a home that gets a token request for each request of an account, however many
// requests its callers send, and against instances that admit less than the limit because they request tokens
// less often.
func TestTokenRequestsToHomeAreBounded(t *testing.T) {
	const instances, seconds = 12, 2
	f := newAccountFleet(t, instances, fleet.Limit{Rate: 30, Burst: 10})
	f.send(t, seconds*time.Second, 100)
	requests := f.homes[0].tokenRequests.Load() + f.homes[1].tokenRequests.Load()
	admitted := len(f.admitted)
	if most := int64(admitted + seconds*instances*11); requests > most {
		t.Errorf("%d requests led to %d token requests, of which %d admitted; want at most %d", f.sent, requests, admitted, most)
	}
	if least, most := seconds*30*8/10, 12+seconds*30+5; admitted < least || admitted > most {
		t.Errorf("%d requests admitted, want %d to %d", admitted, least, most)
	}
}

// Guards against a second home that admits the rate once more while the first one, whose
// answers are late for some instances or at some times, counts the others' requests.
func TestLateHomeIsNotCountedTwice(t *testing.T) {
	const instances, seconds = 12, 3
	f := newAccountFleet(t, instances, fleet.Limit{Rate: 30, Burst: 10})
	f.send(t, time.Second, 100)
	f.admitted = nil // the burst is used up
	n := atomic.Int64{}
	late := func() <-chan time.Time {
		if n.Add(1)%2 == 0 {
			return time.After(0)
		}
		return time.After(homeTimeout * 3 / 2)
	}
	f.homes[0].delay.Store(&late)
	f.send(t, seconds*time.Second, 100)
	if most := seconds*30*11/10 + 20; len(f.admitted) > most {
		t.Errorf("%d requests admitted in %d s, want at most %d", len(f.admitted), seconds, most)
	}
}

// Guards against token requests and answers that change in encoding and decoding, and against
// values that no instance sends.
func TestTokenRequestCodec(t *testing.T) {
	q := quota.TokenRequest{
		Requester: quota.Run{Instance: "i", Boot: "b"}, Wanted: 3, Demand: 17.25, FormerBoot: "a", Complete: true, ExhaustedBefore: 12 * time.Millisecond,
		Uses: []quota.Use{{Seq: 1, Age: 240 * time.Millisecond, Requests: 2}, {Seq: 2, Requests: 1, Former: true}},
	}
	gotRequest, err := decodeTokenRequest(encodeTokenRequest(q))
	if diff := cmp.Diff(q, gotRequest, cmpopts.IgnoreUnexported(quota.TokenRequest{})); err != nil || diff != "" {
		t.Error(err, diff)
	}
	g := quota.Grant{Boot: "h", NeedComplete: true, Admitted: 2, Wait: 2500 * time.Microsecond, Lease: 430 * time.Millisecond, Rate: 2.125}
	gotGrant, err := decodeGrant(encodeGrant(g))
	if diff := cmp.Diff(g, gotGrant); err != nil || diff != "" {
		t.Error(err, diff)
	}
	for _, text := range []string{
		``, `{"wanted":1}`, `{"requester":"i","wanted":0}`, `{"requester":"i","wanted":1,"demand":-1}`, `{"requester":"i","wanted":1,"demand":1e99}`,
		`{"requester":"i","wanted":1,"uses":[[1,-1,1]]}`, `{"requester":"i","wanted":1,"uses":[[1,1,-1]]}`, `{"requester":"i","wanted":1,"exhausted-before-ms":-1}`,
	} {
		if _, err := decodeTokenRequest([]byte(text)); err == nil {
			t.Errorf("token request %q: no error", text)
		}
	}
	for _, text := range []string{``, `{"admitted":-1}`, `{"rate":1e99}`, `{"lease-ms":-1}`, `{"admitted":1000001}`, `{"wait-us":18446744073709552}`, `{"lease-ms":18446744073710}`} {
		if _, err := decodeGrant([]byte(text)); err == nil {
			t.Errorf("answer %q: no error", text)
		}
	}
}

// Guards against a record of each home that has ever failed to answer.
func TestOldHomeFailuresAreForgotten(t *testing.T) {
	r, now := rolloutRouter(testBounds), time.Unix(1000, 0)
	r.noteHomeFailure(now, "a")
	r.noteHomeFailure(now.Add(2*homeRetryDelay), "b")
	if n := len(r.homeFailedAt); n != 1 {
		t.Errorf("%d failures, want 1", n)
	}
}
