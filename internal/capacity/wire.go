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
	// measurePeriod is the duration of a measurement of polls or of store reads. For
	// polls it is the time of 15 rounds.
	measurePeriod = 3 * time.Second
	pollInterval  = 200 * time.Millisecond
	// pollsPerDetails is the number of polls of which one requests details. Instances
	// other than the planner request details once a second.
	pollsPerDetails     = 5
	changesReadInterval = 250 * time.Millisecond
)

// countingProxy is a TCP proxy that counts the payload bytes of both directions.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
}

func startCountingProxy(target string) (*countingProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &countingProxy{listener: ln, target: target}
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
			go f.copyBytes(in, out)
			go f.copyBytes(out, in)
		}
	}()
	return f, nil
}

func (f *countingProxy) addr() string { return f.listener.Addr().String() }

func (f *countingProxy) close() { _ = f.listener.Close() }

// copyBytes copies from one connection to the other until either end closes, and counts
// the bytes.
func (f *countingProxy) copyBytes(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	_, _ = io.Copy(io.MultiWriter(to, f), from)
}

// Write adds the length of b to the number of bytes counted.
func (f *countingProxy) Write(b []byte) (int, error) {
	f.bytes.Add(int64(len(b)))
	return len(b), nil
}

// fakeMember is an instance that answers polls with a fixed answer, and token calls.
type fakeMember struct {
	peer.Handler // nil: no other messages are sent
	fixedAnswer  peer.PollAnswer
	mu           sync.Mutex
	home         *limit.Home
}

func (a *fakeMember) Poll(_ context.Context, q peer.PollRequest) peer.PollAnswer {
	answer := a.fixedAnswer
	answer.Details = q.Details
	return answer
}

func (a *fakeMember) Tokens(_ context.Context, m peer.TokensRequest) peer.TokensAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return peer.TokensAnswer{Lease: a.home.HandleCall(time.Now(), m.Holder, m.Call)}
}

// pollAnswer returns the answer of a member among n in a stable fleet: it has heard all
// others, and reports three upstreams with 8 hot keys each, the largest number that a
// report has.
func pollAnswer(n int) peer.PollAnswer {
	a := peer.PollAnswer{
		From: member(0).ID, Boot: member(0).Boot, Phase: peer.Serving, Known: knownRevisions, StoreAge: 130 * time.Millisecond,
		AnswerAges: make(map[fleet.InstanceID]time.Duration, n), Reports: map[fleet.UpstreamID]assignment.Report{},
	}
	for i := 1; i < n; i++ {
		a.AnswerAges[member(i).ID] = time.Duration(i%150) * time.Millisecond
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

// knownRevisions are the revisions that polls and their answers report.
var knownRevisions = authority.Revisions{Catalogue: 123_456, Assignment: 123_789}

func pollRequest() peer.PollRequest {
	return peer.PollRequest{From: member(1), Phase: peer.Serving, Known: knownRevisions}
}

// peerGroup is a group of members that listen on loopback, and a client with connections
// to all of them.
type peerGroup struct {
	servers []*peer.Server
	client  *peer.Client
}

func startPeerGroup(n int, h peer.Handler) (*peerGroup, error) {
	p := &peerGroup{client: peer.NewClient(secret)}
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

// pollAll polls all members at the same time and returns the number of polls without an
// answer within peer.CallTimeout. round is the number of the round, which decides
// whether the polls request details.
func (p *peerGroup) pollAll(round int) int {
	q := pollRequest()
	q.Details = round%pollsPerDetails == 0
	var unanswered atomic.Int64
	var wg sync.WaitGroup
	for _, s := range p.servers {
		wg.Go(func() {
			if _, err := p.client.Poll(context.Background(), s.Addr(), q); err != nil {
				unanswered.Add(1)
			}
		})
	}
	wg.Wait()
	return int(unanswered.Load())
}

func (p *peerGroup) close() {
	p.client.Close()
	for _, s := range p.servers {
		s.Close()
	}
}

func measurePolls(r *recorder) error {
	const x = "members"
	for _, n := range []int{12, 48, 200} {
		if err := measurePollsOfGroup(r, x, n); err != nil {
			return errors.Wrapf(err, "%d members", n)
		}
	}
	return nil
}

func measurePollsOfGroup(r *recorder, x string, n int) error {
	var failed error
	p, memory := retainedMemory(func() *peerGroup {
		p, err := startPeerGroup(n-1, &fakeMember{fixedAnswer: pollAnswer(n)})
		failed = err
		return p
	})
	if failed != nil {
		return failed
	}
	defer p.close()
	at := float64(n)
	// Both ends of n−1 connections are in this process. In a fleet, a member has the
	// client end of one connection and the server end of another one for each other
	// member, which needs the same memory.
	r.add("poll-heap", "connections of one member with the others, both ends", x, "B", at, memory)
	unanswered, polls := 0, 0
	cpu := median(func() float64 {
		start, rounds := cpuTime(), 0
		tick := time.NewTicker(pollInterval)
		defer tick.Stop()
		for ; rounds < int(measurePeriod/pollInterval); rounds++ {
			unanswered += p.pollAll(rounds)
			polls += n - 1
			<-tick.C
		}
		return float64(cpuTime()-start) / float64(rounds*(n-1))
	})
	r.add("poll-cpu", "poll and its answer, both ends", x, "ns", at, cpu)
	r.add("poll-missed", "share of the polls that had no answer within 400 ms", x, "", at, float64(unanswered)/float64(polls))
	f, err := startCountingProxy(p.servers[0].Addr())
	if err != nil {
		return err
	}
	defer f.close()
	sent := 0
	b, err := bytesPerCall(f, func(c *peer.Client) error {
		q := pollRequest()
		q.Details = sent%pollsPerDetails == 0
		sent++
		_, err := c.Poll(context.Background(), f.addr(), q)
		return err
	})
	r.add("poll-bytes", "payload of a poll and its answer", x, "B", at, b)
	r.add("poll-messages", "polls sent and answered per second", x, "1/s", at, 2*(at-1)/pollInterval.Seconds())
	return err
}

// bytesPerCall returns the average number of payload bytes of call, both directions,
// without the handshake of the connection.
func bytesPerCall(f *countingProxy, call func(*peer.Client) error) (float64, error) {
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
	handler := &fakeMember{home: limit.NewHome(tokenTTL), fixedAnswer: pollAnswer(2)}
	id := fleet.AccountLimit(account(1))
	handler.home.Activate(time.Now(), id, fleet.Limit{Rate: 1e6, Burst: 1e6}, 1e6)
	p, err := startPeerGroup(1, handler)
	if err != nil {
		return err
	}
	defer p.close()
	f, err := startCountingProxy(p.servers[0].Addr())
	if err != nil {
		return err
	}
	defer f.close()
	var lease limit.Lease
	takeTokens := func(c *peer.Client, addr string) error {
		call := limit.Call{ID: id, Waiting: 3, Closed: []limit.Closed{{Lease: lease.ID, Unused: 1}}}
		a, err := c.Tokens(context.Background(), addr, peer.TokensRequest{Holder: member(1).ID, Call: call})
		lease = a.Lease
		return err
	}
	for _, n := range []int{1000, 2000, 4000} {
		cpu := median(func() float64 {
			start := cpuTime()
			for range n {
				if e := takeTokens(p.client, p.servers[0].Addr()); e != nil {
					err = e
				}
			}
			return float64(cpuTime() - start)
		})
		r.add("token-cpu", "token calls one after the other, both ends", "calls", "ns", float64(n), cpu)
		before := f.bytes.Load()
		for range n {
			if e := takeTokens(p.client, f.addr()); e != nil {
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
	f, err := startCountingProxy(s.Addr())
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

// measureStore measures the load on the store by the two periodic reads of an instance:
// the changes every 250 ms and the instance list every second.
func measureStore(r *recorder) error {
	for _, n := range []int{3, 12, 48} {
		reads, lists, err := storeCallRates(n)
		if err != nil {
			return err
		}
		r.add("store-reads", "reads of changes admitted by the store", "readers", "1/s", float64(n), reads)
		r.add("store-lists", "reads of the instance list", "readers", "1/s", float64(n), lists)
	}
	return nil
}

// storeCallRates returns the reads of changes and of the instance list per second that
// the store counts with n readers.
func storeCallRates(n int) (reads, lists float64, err error) {
	s, err := store.Start(store.Config{})
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	client, err := http1.NewClient()
	if err != nil {
		return 0, 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), measurePeriod)
	defer cancel()
	var wg sync.WaitGroup
	var failures atomic.Int64
	callPeriodically := func(d time.Duration, read func(context.Context) error) {
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
		callPeriodically(changesReadInterval, func(ctx context.Context) error {
			_, err := reader.Changes(ctx, "parsley/", 0, 0)
			return err
		})
		callPeriodically(time.Second, func(ctx context.Context) error {
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

// storeStats returns the numeric fields of the store's GET /stats.
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
