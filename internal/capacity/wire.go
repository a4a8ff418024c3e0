package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/peer"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/store"
	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/upstream"
	"github.com/parsleyproxy/parsleyproxy/internal/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	secret = peer.Secret("0123456789abcdef0123456789abcdef")
	// period is long enough for 20 rounds of polls.
	period    = 3 * time.Second
	pollEvery = 200 * time.Millisecond
	// detailsEvery is the number of polls of which one asks for details, as
	// instances other than the planner do once a second.
	detailsEvery = 5
	readEvery    = 250 * time.Millisecond
)

// forwarder passes TCP connections on and counts the bytes of both directions.
type forwarder struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func forward(target string) (*forwarder, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &forwarder{listener: ln, target: target}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			go f.pass(in, out)
			go f.pass(out, in)
		}
	}()
	return f, nil
}

func (f *forwarder) addr() string { return f.listener.Addr().String() }

func (f *forwarder) close() { _ = f.listener.Close() }

// pass copies until either end closes.
func (f *forwarder) pass(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	_, _ = io.Copy(io.MultiWriter(to, f), from)
}

// Write counts.
func (f *forwarder) Write(b []byte) (int, error) {
	f.bytes.Add(int64(len(b)))
	return len(b), nil
}

// answering is an instance that answers polls and token calls.
type answering struct {
	peer.Handler // the other messages are not sent
	answer       peer.PollAnswer
	mu           sync.Mutex
	home         *limit.Home
}

func (a *answering) Poll(_ context.Context, q peer.PollRequest) peer.PollAnswer {
	answer := a.answer
	answer.Details = q.Details
	return answer
}

func (a *answering) Tokens(_ context.Context, m peer.TokensRequest) peer.TokensAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := fleet.Limit{Rate: 1e6, Burst: 1e6}
	return peer.TokensAnswer{Lease: a.home.Take(time.Now(), l, m.Holder, m.Call)}
}

// pollAnswer is the answer of a settled member: it has heard all others and
// reports three upstreams with the most hot keys that a report has.
func pollAnswer(n int) peer.PollAnswer {
	a := peer.PollAnswer{
		From: member(0).ID, Boot: member(0).Boot, Phase: peer.Serving, Known: known, StoreAge: 130 * time.Millisecond,
		Heard: make(map[fleet.InstanceID]time.Duration, n), Reports: map[fleet.UpstreamID]assignment.Report{},
	}
	for i := 1; i < n; i++ {
		a.Heard[member(i).ID] = time.Duration(i%150) * time.Millisecond
	}
	for i := range upstreamsPerNode {
		r := assignment.Report{Limit: 6, Slots: 6, InFlight: 3, Queued: 1, Load: 727.25}
		for k := range 8 {
			r.Hot = append(r.Hot, assignment.HotKey{Key: fleet.RoutingKey(fmt.Sprintf("routing-key-%04d", k)), Rate: 20.5})
		}
		a.Reports[fleet.UpstreamID(fmt.Sprintf("service-0000-up-%05d", i))] = r
	}
	return a
}

var known = authority.Known{Catalogue: 123_456, Assignment: 123_789}

func pollRequest() peer.PollRequest {
	return peer.PollRequest{From: member(1), Phase: peer.Serving, Known: known}
}

// peers are members that listen on loopback, and a client connected to them.
type peers struct {
	servers []*peer.Server
	client  *peer.Client
}

func startPeers(n int, h peer.Handler) (*peers, error) {
	p := &peers{client: peer.NewClient(secret)}
	for range n {
		s, err := peer.Listen("127.0.0.1:0", secret, h)
		if err != nil {
			p.close()
			return nil, err
		}
		p.servers = append(p.servers, s)
	}
	for _, s := range p.servers {
		if _, err := p.client.Poll(context.Background(), s.Addr(), pollRequest()); err != nil {
			p.close()
			return nil, err
		}
	}
	return p, nil
}

// round polls every member once, as the n-th round, all at the same time, and
// returns the number of polls without an answer within peer.CallTimeout.
func (p *peers) round(n int) int {
	q := pollRequest()
	q.Details = n%detailsEvery == 0
	var missed atomic.Int64
	var wg sync.WaitGroup
	for _, s := range p.servers {
		wg.Go(func() {
			if _, err := p.client.Poll(context.Background(), s.Addr(), q); err != nil {
				missed.Add(1)
			}
		})
	}
	wg.Wait()
	return int(missed.Load())
}

func (p *peers) close() {
	p.client.Close()
	for _, s := range p.servers {
		s.Close()
	}
}

func measurePolls(r *recorder) error {
	const x = "members"
	for _, n := range []int{12, 48, 200} {
		if err := measurePollsOf(r, x, n); err != nil {
			return errors.Wrapf(err, "%d members", n)
		}
	}
	return nil
}

func measurePollsOf(r *recorder, x string, n int) error {
	var failed error
	p, memory := retained(func() *peers {
		p, err := startPeers(n-1, &answering{answer: pollAnswer(n)})
		failed = err
		return p
	})
	if failed != nil {
		return failed
	}
	defer p.close()
	at := float64(n)
	// Both ends are in this process. A member has the client end of one connection
	// and the server end of another one for each of the others, which is the same.
	r.add("poll-heap", "connections of one member with the others, both ends", x, "B", at, memory)
	missed, polls := 0, 0
	cpu := median(func() float64 {
		start, rounds := cpuTime(), 0
		tick := time.NewTicker(pollEvery)
		defer tick.Stop()
		for ; rounds < int(period/pollEvery); rounds++ {
			missed += p.round(rounds)
			polls += n - 1
			<-tick.C
		}
		return float64(cpuTime()-start) / float64(rounds*(n-1))
	})
	r.add("poll-cpu", "poll and its answer, both ends", x, "ns", at, cpu)
	r.add("poll-missed", "share of the polls that had no answer within 400 ms", x, "", at, float64(missed)/float64(polls))
	f, err := forward(p.servers[0].Addr())
	if err != nil {
		return err
	}
	defer f.close()
	asked := 0
	b, err := bytesPerCall(f, func(c *peer.Client) error {
		q := pollRequest()
		q.Details = asked%detailsEvery == 0
		asked++
		_, err := c.Poll(context.Background(), f.addr(), q)
		return err
	})
	r.add("poll-bytes", "payload of a poll and its answer", x, "B", at, b)
	r.add("poll-messages", "polls sent and answered per second", x, "1/s", at, 2*(at-1)/pollEvery.Seconds())
	return err
}

// bytesPerCall leaves out the handshake.
func bytesPerCall(f *forwarder, call func(*peer.Client) error) (float64, error) {
	c := peer.NewClient(secret)
	defer c.Close()
	if err := call(c); err != nil {
		return 0, err
	}
	const calls = 50
	before := f.bytes.Load()
	for range calls {
		if err := call(c); err != nil {
			return 0, err
		}
	}
	return float64(f.bytes.Load()-before) / calls, nil
}

func measureTokens(r *recorder) error {
	h := &answering{home: limit.NewHome(tokenTTL), answer: pollAnswer(2)}
	id := fleet.AccountLimit(account(1))
	h.home.Activate(time.Now(), id, 1e6)
	p, err := startPeers(1, h)
	if err != nil {
		return err
	}
	defer p.close()
	f, err := forward(p.servers[0].Addr())
	if err != nil {
		return err
	}
	defer f.close()
	var lease limit.Lease
	ask := func(c *peer.Client, addr string) error {
		call := limit.Call{ID: id, Waiting: 3, Closed: []limit.Closed{{Lease: lease.ID, Unused: 1}}}
		a, err := c.Tokens(context.Background(), addr, peer.TokensRequest{Holder: member(1).ID, Call: call})
		lease = a.Lease
		return err
	}
	for _, n := range []int{1000, 2000, 4000} {
		cpu := median(func() float64 {
			start := cpuTime()
			for range n {
				if e := ask(p.client, p.servers[0].Addr()); e != nil {
					err = e
				}
			}
			return float64(cpuTime() - start)
		})
		r.add("token-cpu", "token calls one after the other, both ends", "calls", "ns", float64(n), cpu)
		before := f.bytes.Load()
		for range n {
			if e := ask(p.client, f.addr()); e != nil {
				err = e
			}
		}
		r.add("token-bytes", "payload of token calls and their answers", "calls", "B", float64(n), float64(f.bytes.Load()-before))
	}
	return err
}

func measureRenewals(r *recorder) error {
	client, err := http1.NewClient()
	if err != nil {
		return err
	}
	s, err := standin.Start(standin.Config{Name: "up", Service: "s", Addr: "127.0.0.1:0", Slots: 6, ColdSlots: 6, MaxConns: 120})
	if err != nil {
		return err
	}
	defer s.Close()
	f, err := forward(s.Addr())
	if err != nil {
		return err
	}
	defer f.close()
	u, direct := upstream.New(client), s.Addr()
	reply, err := u.Control(context.Background(), direct, upstream.Call{Kind: dispatch.Hello, DispatcherFence: 7, Instance: member(1).ID})
	if err != nil {
		return err
	}
	renew := func(addr string) {
		var e error
		call := upstream.Call{Kind: dispatch.Renew, DispatcherFence: 7, Stamp: reply.Stamp, TTL: 900 * time.Millisecond}
		if reply, e = u.Control(context.Background(), addr, call); e != nil {
			err = e
		}
	}
	for _, n := range []int{500, 1000, 2000} {
		r.add("renew-cpu", "renewals one after the other, both ends", "calls", "ns", float64(n), median(func() float64 {
			start := cpuTime()
			for range n {
				renew(direct)
			}
			return float64(cpuTime() - start)
		}))
		before := f.bytes.Load()
		for range n {
			renew(f.addr())
		}
		r.add("renew-bytes", "payload of renewals and their answers", "calls", "B", float64(n), float64(f.bytes.Load()-before))
	}
	return err
}

// measureStore runs the two periodic readers of an instance: the changes every
// 250 ms and the instance list every second.
func measureStore(r *recorder) error {
	for _, n := range []int{3, 12, 48} {
		reads, lists, err := storeCalls(n)
		if err != nil {
			return err
		}
		r.add("store-reads", "reads of changes admitted by the store", "readers", "1/s", float64(n), reads)
		r.add("store-lists", "reads of the instance list", "readers", "1/s", float64(n), lists)
	}
	return nil
}

func storeCalls(n int) (reads, lists float64, err error) {
	s, err := store.Start(store.Config{})
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	client, err := http1.NewClient()
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), period)
	defer cancel()
	var wg sync.WaitGroup
	var failures atomic.Int64
	every := func(d time.Duration, read func(context.Context) error) {
		wg.Go(func() {
			tick := time.NewTicker(d)
			defer tick.Stop()
			for {
				if err := read(ctx); err != nil && ctx.Err() == nil {
					failures.Add(1)
				}
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	start := time.Now()
	for range n {
		reader, list := platform.NewStore(client, s.Addr()), platform.NewList(client, s.Addr())
		defer reader.Close()
		every(readEvery, func(ctx context.Context) error {
			_, err := reader.Changes(ctx, "parsley/", 0, 0)
			return err
		})
		every(time.Second, func(ctx context.Context) error {
			_, err := list.Fetch(ctx)
			return err
		})
	}
	wg.Wait()
	took := time.Since(start).Seconds()
	if failures.Load() > 0 {
		return 0, 0, errors.Errorf("%d reads failed", failures.Load())
	}
	stats, err := storeStats(client, s.Addr())
	return stats["reads"] / took, stats["instance-calls"] / took, err
}

// storeStats reads the counters of GET /stats.
func storeStats(client *http1.Client, addr string) (map[string]float64, error) {
	pool := client.NewPool(addr, http1.PoolConfig{MaxConns: 1})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := pool.Do(ctx, &http1.Request{Method: http.MethodGet, Target: "/stats"})
	if err != nil {
		return nil, err
	}
	out := map[string]float64{}
	return out, jx.DecodeBytes(res.Body).Obj(func(d *jx.Decoder, field string) error {
		if d.Next() != jx.Number {
			return d.Skip()
		}
		n, err := d.Float64()
		out[field] = n
		return err
	})
}
