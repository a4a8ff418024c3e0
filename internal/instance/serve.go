package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// authorityWait covers a short stall of this process; a longer loss of
	// authority is refused, so that callers can go elsewhere.
	authorityWait  = 300 * time.Millisecond
	authorityRetry = time.Second
	// routeRetry is the pause before a request that found no owner is routed
	// again; a newly learned assignment ends it early.
	routeRetry = 20 * time.Millisecond
	// maxRepeats bounds how often an idempotent request is sent again after the
	// connection to its dispatcher was lost, so that a failing dispatcher gets at
	// most a few times the load.
	maxRepeats = 3
	// outGrace is the time after which an instance that is out of service
	// refuses requests that the balancer still sends.
	outGrace = 3 * time.Second
)

// job is a request on its way from the receiving instance to the upstream.
type job struct {
	id       fleet.RequestID
	account  fleet.AccountID
	service  catalogue.Service
	key      fleet.RoutingKey
	class    catalogue.Class
	deadline time.Time
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	// recheck decides again after the catalogue has changed since decided; nil for
	// jobs that another instance decided.
	recheck func(*snapshot) *fleet.Refusal
	decided fleet.Revision // of the catalogue
}

// Serve answers a caller's request: it decides who asks and for what, takes
// tokens, and routes the request to the upstream that owns its key.
func (n *Instance) Serve(ctx context.Context, in route.Incoming, body []byte) (*http1.Response, *fleet.Refusal) {
	start := time.Now()
	decided := n.snapshot().known.Catalogue
	routed, refusal := n.decide(ctx, start, in)
	if refusal != nil {
		n.refused(start, in.RequestID, routed, refusal)
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, routed.Deadline.Add(answerGrace))
	defer cancel()
	if refusal := n.admit(ctx, routed.Limits, routed.Deadline); refusal != nil {
		n.refused(start, in.RequestID, routed, refusal)
		return nil, refusal
	}
	res, refusal := n.route(ctx, &job{
		id: in.RequestID, account: routed.Account, service: routed.Service, key: routed.Key, class: routed.Entry.Class,
		deadline: routed.Deadline, method: in.Method, target: routed.Target, host: in.Host, header: routed.Header, body: body,
		decided: decided,
		recheck: func(s *snapshot) *fleet.Refusal {
			_, refusal := route.Decide(start, s.index, in)
			return refusal
		},
	})
	if refusal != nil {
		n.refused(start, in.RequestID, routed, refusal)
		return nil, refusal
	}
	n.metrics.Served(routed.Account, routed.Entry.Class, res.Status, time.Since(start))
	return res, nil
}

// decide waits for authority and decides what the request is.
func (n *Instance) decide(ctx context.Context, start time.Time, in route.Incoming) (route.Routed, *fleet.Refusal) {
	for {
		now := time.Now()
		n.mu.Lock()
		holds := n.holds(now)
		n.mu.Unlock()
		if holds {
			if refusal := n.outOfService(now); refusal != nil {
				return route.Routed{}, refusal
			}
			return route.Decide(start, n.snapshot().index, in)
		}
		if now.Sub(start) > authorityWait || ctx.Err() != nil {
			return route.Routed{}, &fleet.Refusal{
				Reason: fleet.ReasonNoAuthority, RetryAfter: authorityRetry,
				Detail: "this instance reaches neither the store nor a majority of its peers",
			}
		}
		sleep(ctx, routeRetry)
	}
}

// outOfService refuses work on an instance that operators have taken out.
func (n *Instance) outOfService(now time.Time) *fleet.Refusal {
	out, ok := n.outage()
	n.mu.Lock()
	since := n.outSince
	n.mu.Unlock()
	if !ok || since.IsZero() || now.Sub(since) < outGrace {
		return nil
	}
	return &fleet.Refusal{
		Reason: fleet.ReasonOutOfService, RetryAfter: authorityRetry,
		Detail: string(out.Kind) + " " + out.Name + " is out of service",
	}
}

// noteOutage notes when this instance learned that it is out of service; the time
// in the catalogue is of the operator's clock. The caller holds mu.
func (n *Instance) noteOutage(now time.Time, s *snapshot) {
	switch _, out := n.outageIn(s); {
	case !out:
		n.outSince = time.Time{}
	case n.outSince.IsZero():
		n.outSince = now
	}
}

// outage returns the edit that took this instance or its zone out of service.
func (n *Instance) outage() (catalogue.Outage, bool) { return n.outageIn(n.snapshot()) }

func (n *Instance) outageIn(s *snapshot) (catalogue.Outage, bool) {
	c := s.catalogue
	if o, ok := c.Out(catalogue.OutageInstance, string(n.self.ID)); ok {
		return o, true
	}
	return c.Out(catalogue.OutageZone, string(n.self.Zone))
}

// route sends the job to the dispatcher of the owner of its key. It tries again
// while the job has provably not run and its deadline allows, since another
// owner or dispatcher may be assigned in the meantime.
func (n *Instance) route(ctx context.Context, j *job) (*http1.Response, *fleet.Refusal) {
	repeats := 0
	for attempt := 0; ; attempt++ {
		res, refusal := n.routeOnce(ctx, j, attempt)
		if refusal == nil {
			return res, nil
		}
		again := worthAnotherRoute(refusal)
		if refusal.Reason == fleet.ReasonConnectionLost && j.class == catalogue.Idempotent && repeats < maxRepeats {
			repeats++
			again = true
		}
		if !again || time.Now().Add(routeRetry).After(j.deadline) || ctx.Err() != nil {
			return nil, refusal
		}
		n.awaitChange(ctx, routeRetry)
	}
}

// worthAnotherRoute reports whether a not-run refusal may be cured by a newer
// assignment.
func worthAnotherRoute(r *fleet.Refusal) bool {
	switch r.Reason {
	case fleet.ReasonNoOwner, fleet.ReasonNoAuthority, fleet.ReasonDraining:
		return true
	default:
		return false
	}
}

func (n *Instance) awaitChange(ctx context.Context, atMost time.Duration) {
	n.mu.Lock()
	changed := n.changed
	n.mu.Unlock()
	t := time.NewTimer(atMost)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// routeOnce sends the job to the dispatcher that this instance knows of.
func (n *Instance) routeOnce(ctx context.Context, j *job, attempt int) (*http1.Response, *fleet.Refusal) {
	s := n.snapshot()
	// A caller key that was withdrawn while the request waited must not be honoured.
	if j.recheck != nil && s.known.Catalogue != j.decided {
		if refusal := j.recheck(s); refusal != nil {
			return nil, refusal
		}
		j.decided = s.known.Catalogue
	}
	own, ok := s.assignment.Owner(j.service.ID, j.key, j.service.Shards)
	if !ok || own.Owner == "" {
		return nil, noOwner("no upstream owns the key")
	}
	up, ok := s.upstream(own.Owner)
	if !ok || up.Dispatcher == "" {
		return nil, noOwner("upstream " + string(own.Owner) + " has no dispatcher")
	}
	try := *j
	try.id = attemptID(j.id, attempt)
	if up.Dispatcher == n.self.ID {
		return n.dispatchJob(ctx, &try)
	}
	m, ok := s.member(up.Dispatcher)
	if !ok {
		return nil, noOwner("dispatcher " + string(up.Dispatcher) + " has left")
	}
	return n.forward(ctx, m, &try)
}

func noOwner(detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: fleet.ReasonNoOwner, Detail: detail, RetryAfter: authorityRetry}
}

// refused records a refusal for metrics and explanations.
func (n *Instance) refused(start time.Time, id fleet.RequestID, routed route.Routed, r *fleet.Refusal) {
	n.metrics.Refused(routed.Account, r.Reason)
	n.refusals.add(time.Now(), refusedRequest{id: id, account: routed.Account, entry: routed.Entry.ID, service: routed.Service.ID, key: routed.Key, refusal: *r, took: time.Since(start)})
}

// asRefusal maps the error of a forwarding call.
func asRefusal(err error, dispatcher fleet.InstanceID) *fleet.Refusal {
	var notSent *http1.NotSentError
	if errors.As(err, &notSent) {
		return noOwner("dispatcher " + string(dispatcher) + " cannot be reached")
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &fleet.Refusal{Reason: fleet.ReasonTimeout, Detail: "no answer from dispatcher " + string(dispatcher)}
	}
	return &fleet.Refusal{Reason: fleet.ReasonConnectionLost, Detail: "connection to dispatcher " + string(dispatcher) + " lost"}
}
