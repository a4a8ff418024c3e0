package capacity

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/dispatch"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/internal/metrics"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// epoch is the start of the simulated time in measurements without real connections.
var epoch = time.Unix(1e9, 0)

const (
	shardsPerService    = 10_000
	upstreamsPerService = 32
	upstreamsPerNode    = 3 // both known deployments run 33 to 35 upstreams with 12 instances
)

func member(i int) assignment.Member {
	return assignment.Member{
		ID: fleet.InstanceID(fmt.Sprintf("instance-%05d", i)), Boot: fleet.BootID(fmt.Sprintf("boot-%016x", i)),
		Address: fmt.Sprintf("10.%d.%d.1:7100", i/250, i%250), ForwardAddress: fmt.Sprintf("10.%d.%d.1:7200", i/250, i%250),
		Zone: fleet.ZoneID(fmt.Sprintf("zone-%02d", i%12)),
	}
}

func members(n int) []assignment.Member {
	out := make([]assignment.Member, n)
	for i := range out {
		out[i] = member(i)
	}
	return out
}

// stablePlanInput returns a planner's input for which it changes nothing: every unit has
// an owner and every upstream is warm.
func stablePlanInput(units int) (assignment.Input, error) {
	in := assignment.Input{Catalogue: &catalogue.Catalogue{}, Reports: map[fleet.UpstreamID]assignment.Report{}}
	a := &assignment.Assignment{Members: members(12), NextFence: 1}
	for first := 0; first < units; first += shardsPerService {
		id := fleet.ServiceID(fmt.Sprintf("service-%04d", first/shardsPerService))
		shards := min(shardsPerService, units-first)
		in.Catalogue.Services = append(in.Catalogue.Services, catalogue.Service{ID: id, Shards: shards, Slots: 6, ColdSlots: 1})
		var serviceUpstreams [upstreamsPerService]fleet.UpstreamID
		for i := range serviceUpstreams {
			serviceUpstreams[i] = fleet.UpstreamID(fmt.Sprintf("%s-up-%02d", id, i))
			m := a.Members[i%len(a.Members)]
			u := assignment.Upstream{ID: serviceUpstreams[i], Service: id, Address: "10.0.0.1:80", Zone: m.Zone, Dispatcher: m.ID, Fence: a.NextFence, State: assignment.Live}
			a.NextFence++
			a.Upstreams = append(a.Upstreams, u)
			in.Listed = append(in.Listed, platform.Listed{Name: string(u.ID), Kind: platform.KindUpstream, Service: id, Address: u.Address, Zone: u.Zone, State: platform.StateLive})
			in.Reports[u.ID] = assignment.Report{Limit: 6, Slots: 6}
		}
		for i := range shards {
			a.Units = append(a.Units, assignment.Ownership{
				Unit: fleet.Unit{Service: id, Shard: fleet.ShardID(i)}, Owner: serviceUpstreams[i%upstreamsPerService], Fence: a.NextFence,
			})
			a.NextFence++
		}
	}
	var err error
	in.Current, err = assignment.Decode(a.Encode())
	for i := 0; err == nil && i < 5; i++ { // the planner moves upstreams between dispatchers until their numbers are balanced
		next, _, changed := assignment.Plan(epoch, in)
		in.Current = next
		if !changed {
			return in, nil
		}
	}
	if err == nil {
		err = errors.New("the planner still changes the assignment after 5 plans")
	}
	return in, err
}

func measureAssignment(r *recorder) error {
	const x = "units"
	for _, n := range []int{1e3, 1e4, 1e5, 1e6, 1e7} {
		in, err := stablePlanInput(n)
		if err != nil {
			return err
		}
		at := float64(n)
		data := in.Current.Encode()
		r.add("assignment-bytes", "assignment record", x, "B", at, float64(len(data)))
		decoded, heap := retainedMemory(func() *assignment.Assignment {
			a, err := assignment.Decode(data)
			if err != nil {
				return nil
			}
			return a
		})
		if decoded == nil {
			return errors.Errorf("decoding the assignment record of %d units failed", n)
		}
		r.add("assignment-heap", "decoded assignment", x, "B", at, heap)
		runtime.KeepAlive(decoded)
		r.add("assignment-encode", "encode", x, "ns", at, cpuTimePerCall(func() { in.Current.Encode() }))
		r.add("assignment-decode", "decode", x, "ns", at, cpuTimePerCall(func() { _, _ = assignment.Decode(data) }))
		r.add("plan-unchanged", "plan without a change", x, "ns", at, cpuTimePerCall(func() { assignment.Plan(epoch, in) }))
		first := in.Current.Upstreams[0].ID
		in.Reports[first] = assignment.Report{Lost: true}
		r.add("plan-lost", "plan after the loss of an upstream", x, "ns", at, cpuTimePerCall(func() { assignment.Plan(epoch, in) }))
		r.add("owner", "look-up of an owner", x, "ns", at, cpuTimePerCall(func() {
			in.Current.Owner("service-0000", "some-routing-key", 0)
		}))
	}
	return nil
}

func measureMembers(r *recorder) error {
	for _, n := range []int{12, 48, 200, 1000} {
		a := &assignment.Assignment{Members: members(n), NextFence: 1}
		for i := range n * upstreamsPerNode {
			m := a.Members[i%n]
			a.Upstreams = append(a.Upstreams, assignment.Upstream{
				ID: fleet.UpstreamID(fmt.Sprintf("service-0000-up-%05d", i)), Service: "service-0000", Address: m.Address,
				Zone: m.Zone, Dispatcher: m.ID, Fence: 1_000_000, State: assignment.Live,
			})
		}
		r.add("members-bytes", "members and 3 upstreams each in the record", "members", "B", float64(n), float64(len(a.Encode())))
		r.add("home-choice", "choice of a limit's home", "members", "ns", float64(n), cpuTimePerCall(func() { a.Home("account:some-account") }))
	}
	return nil
}

func account(i int) fleet.AccountID { return fleet.AccountID(fmt.Sprintf("account-%07d", i)) }

// callerKeys returns a catalogue with n caller keys, spread over 100 accounts.
func callerKeys(n int) *catalogue.Catalogue {
	c := &catalogue.Catalogue{
		Services: []catalogue.Service{{ID: "lookup", Shards: 256, Slots: 6, ColdSlots: 1, Fencing: catalogue.FencingChecked, Timeout: time.Second}},
		Entries: []catalogue.Entry{{
			ID: "halls", Owner: "halls@example.org", Service: "lookup", PathPrefix: "/halls", Class: catalogue.Idempotent,
			RoutingKey: catalogue.KeySource{From: catalogue.FromPathSegment, Segment: 1},
		}},
	}
	for i := range 100 {
		c.Accounts = append(c.Accounts, catalogue.Account{ID: account(i), Limit: fleet.Limit{Rate: 100, Burst: 20}})
	}
	for i := range n {
		var seed [8]byte
		binary.BigEndian.PutUint64(seed[:], uint64(i))
		c.CallerKeys = append(c.CallerKeys, catalogue.CallerKey{Hash: fleet.CallerKey(seed[:]).Hash(), Account: account(i % 100)})
	}
	return c
}

func measureCatalogue(r *recorder) error {
	const x = "caller keys"
	for _, n := range []int{1e3, 2e3, 4e3} { // Parse refuses files larger than catalogue.MaxSize
		data := callerKeys(n).Format()
		if _, err := catalogue.Parse("catalogue", data); err != nil {
			return err
		}
		r.add("catalogue-parse", "parse the catalogue", x, "ns", float64(n), cpuTimePerCall(func() { _, _ = catalogue.Parse("catalogue", data) }))
	}
	for _, n := range []int{1e3, 1e4, 1e5, 1e6} {
		c := callerKeys(n)
		at := float64(n)
		r.add("catalogue-bytes", "catalogue record", x, "B", at, float64(len(c.Format())))
		index, heap := retainedMemory(func() *route.Index { return route.NewIndex(c) })
		r.add("index-heap", "index", x, "B", at, heap)
		r.add("index-build", "build the index", x, "ns", at, cpuTimePerCall(func() { route.NewIndex(c) }))
		in := route.Incoming{Method: http.MethodGet, Target: "/halls/17", Header: http.Header{"X-Api-Key": {"\x00\x00\x00\x00\x00\x00\x00\x07"}}}
		if _, refusal := route.Decide(epoch, index, in); refusal != nil {
			return refusal
		}
		r.add("route", "route and authenticate a request", x, "ns", at, cpuTimePerCall(func() { route.Decide(epoch, index, in) }))
	}
	return nil
}

const tokenTTL = 500 * time.Millisecond

func measureLimits(r *recorder) error {
	l := fleet.Limit{Rate: 1000, Burst: 200}
	for _, n := range []int{1e3, 1e4, 1e5} {
		ids := make([]fleet.LimitID, n)
		home, heap := retainedMemory(func() *limit.Home {
			h := limit.NewHome(tokenTTL)
			for i := range ids {
				ids[i] = fleet.AccountLimit(account(i))
				h.Activate(epoch, ids[i], l, 0)
				h.HandleCall(epoch, "instance-00001", limit.Call{ID: ids[i], Waiting: 1})
			}
			return h
		})
		at := float64(n)
		r.add("home-heap", "buckets of a home", "limits", "B", at, heap)
		now, i := epoch.Add(time.Second), 0
		r.add("home-take", "answer to a token call", "limits", "ns", at, cpuTimePerCall(func() {
			now = now.Add(time.Millisecond)
			home.HandleCall(now, "instance-00001", limit.Call{ID: ids[i%n], Waiting: 1})
			i++
		}))
	}
	for _, n := range []int{1, 10, 100} {
		r.add("token-calls-accounts", "token calls at 100 requests/s per limit", "limits", "1/s", float64(n), tokenCallRate(n, 100))
	}
	for _, rate := range []int{10, 100, 1000, 10_000} {
		r.add("token-calls-rate", "token calls for one limit", "requests/s", "1/s", float64(rate), tokenCallRate(1, rate))
	}
	for _, n := range []int{1e2, 1e3, 1e4} {
		h := limit.NewHolder()
		for i := range n {
			h.Admit(epoch, []limit.RequestLimit{{ID: fleet.AccountLimit(account(i)), Limit: l}})
		}
		r.add("holder-tick", "tick of a holder", "limits", "ns", float64(n), cpuTimePerCall(func() { h.Tick(epoch) }))
		r.add("admit", "admission of a request", "limits", "ns", float64(n), admissionCPU(n))
	}
	return nil
}

// tokenCallRate returns the number of token calls per second that one holder makes for n
// limits with rate requests/s each. The limits are high enough to admit all requests.
func tokenCallRate(n, rate int) float64 {
	const run = 5 * time.Second
	l := fleet.Limit{Rate: fleet.PerSecond(2 * rate), Burst: fleet.Tokens(max(rate, 20))}
	home, holder, calls := limit.NewHome(tokenTTL), limit.NewHolder(), 0
	takeTokens := func(now time.Time, list []limit.Call) {
		for _, c := range list {
			calls++
			holder.AddLease(now, c.ID, home.HandleCall(now, "instance-00001", c))
		}
	}
	bounds := make([][]limit.RequestLimit, n)
	for i := range bounds {
		id := fleet.AccountLimit(account(i))
		bounds[i] = []limit.RequestLimit{{ID: id, Limit: l}}
		home.Activate(epoch, id, l, l.Burst)
	}
	tick, sent := 10*time.Millisecond, 0
	for at := time.Duration(0); at < run; at += tick {
		now := epoch.Add(at)
		for ; sent < int(float64(rate)*at.Seconds()); sent++ {
			for _, b := range bounds {
				if need, ok := holder.Admit(now, b).(limit.Need); ok {
					takeTokens(now, need.Calls)
					holder.Admit(now, b)
				}
			}
		}
		takeTokens(now, holder.Tick(now))
	}
	return float64(calls) / run.Seconds()
}

// newDispatchTable returns a dispatch table with n upstreams that are up, each with 23
// units.
func newDispatchTable(n int) *dispatch.Table {
	t := dispatch.New(dispatch.Config{})
	var duties []dispatch.Duty
	for i := range n {
		d := dispatch.Duty{
			Upstream: fleet.UpstreamID(fmt.Sprintf("up-%05d", i)), Service: "s", Address: "10.0.0.1:80", Fence: 7,
			Slots: 6, ColdSlots: 6, Fenced: true, InForceSince: epoch, Timeout: time.Second,
		}
		for j := range unitsPerUpstream {
			u := fleet.Unit{Service: "s", Shard: fleet.ShardID(i*unitsPerUpstream + j)}
			d.Units = append(d.Units, assignment.Ownership{Unit: u, Owner: d.Upstream, Fence: 11})
		}
		duties = append(duties, d)
	}
	controlCalls(t, epoch, t.Tick(epoch, epoch.Add(time.Hour)))
	controlCalls(t, epoch, t.Assign(epoch, duties))
	return t
}

// controlCalls answers the control calls among actions, and those that follow from the
// answers, and returns their number.
func controlCalls(t *dispatch.Table, now time.Time, actions []dispatch.Action) int {
	n := 0
	for _, a := range actions {
		if c, ok := a.(dispatch.SendControl); ok {
			reply := dispatch.Reply{Boot: "b1", Stamp: dispatch.Stamp(now.Sub(epoch)), Fence: c.Call.DispatcherFence}
			n += 1 + controlCalls(t, now, t.ControlDone(now, dispatch.ControlResult{Upstream: c.Upstream, Seq: c.Seq, OK: true, Reply: reply}))
		}
	}
	return n
}

func measureDispatch(r *recorder) error {
	const x = "upstreams of the dispatcher"
	for _, n := range []int{3, 30, 300} {
		t, heap := retainedMemory(func() *dispatch.Table { return newDispatchTable(n) })
		at := float64(n)
		r.add("dispatch-heap", "table of a dispatcher, 23 units per upstream", x, "B", at, heap)
		now, calls := epoch, 0
		for range 500 { // 5 s of ticks
			now = now.Add(10 * time.Millisecond)
			calls += controlCalls(t, now, t.Tick(now, now.Add(time.Second)))
		}
		r.add("control-calls", "control calls to upstreams", x, "1/s", at, float64(calls)/5)
		r.add("dispatch-tick", "tick of a dispatcher", x, "ns", at, cpuTimePerCall(func() { t.Tick(now, now.Add(time.Second)) }))
		req := dispatch.Request{
			ID: "r1", Account: "a", Unit: fleet.Unit{Service: "s"}, Key: "k", Upstream: "up-00000", Deadline: now.Add(time.Second),
		}
		r.add("dispatch-request", "request from Submit to the end of Done", x, "ns", at, cpuTimePerCall(func() {
			t.Submit(now, req)
			t.Done(now, req.ID, 1, dispatch.Result{Kind: dispatch.Answered, Status: http.StatusOK, Boot: "b1"})
		}))
	}
	return nil
}

func measureMetrics(r *recorder) error {
	const x = "client accounts"
	for _, n := range []int{8, 50, 100, 200} {
		m, heap := retainedMemory(func() *metrics.Metrics {
			m := metrics.New()
			for i := range n {
				m.Served(account(i), catalogue.Idempotent, http.StatusOK, time.Millisecond)
				m.Served(account(i), catalogue.NonIdempotent, http.StatusOK, time.Millisecond)
				m.Refused(account(i), fleet.ReasonRateLimited)
			}
			return m
		})
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		lines := 0
		for line := range strings.Lines(w.Body.String()) {
			if !strings.HasPrefix(line, "#") {
				lines++
			}
		}
		r.add("metrics-heap", "metrics", x, "B", float64(n), heap)
		r.add("metrics-series", "series", x, "", float64(n), float64(lines))
		r.add("metrics-scrape", "answer to a scrape", x, "B", float64(n), float64(w.Body.Len()))
	}
	return nil
}

// admissionCPU returns the processor time in ns for the admission of a request, at a
// holder that has tokens for the limits of n accounts and of one entry.
func admissionCPU(n int) float64 {
	h, l := limit.NewHolder(), fleet.Limit{Rate: 1e9, Burst: 1e9}
	bounds := make([][]limit.RequestLimit, n)
	for i := range bounds {
		bounds[i] = []limit.RequestLimit{{ID: fleet.AccountLimit(account(i)), Limit: l}, {ID: "entry:halls", Limit: l}}
		h.AddLease(epoch, bounds[i][0].ID, limit.Lease{ID: 1, Granted: 1e12, TTL: tokenTTL})
	}
	h.AddLease(epoch, "entry:halls", limit.Lease{ID: 1, Granted: 1e12, TTL: tokenTTL})
	i := 0
	return cpuTimePerCall(func() {
		h.Admit(epoch, bounds[i%n])
		i++
	})
}
