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
	// authorityWait is how long a request waits for authority, to cover a short
	// stall of this process. After that it is refused, so that the caller can try
	// another instance.
	authorityWait     = 300 * time.Millisecond
	refusalRetryAfter = time.Second
	// routeRetryInterval is the pause before a request without a reachable owner is
	// routed again. A new assignment ends the pause early.
	routeRetryInterval = 20 * time.Millisecond
	// maxResends limits how often an idempotent request is sent again after the
	// connection to its dispatcher was lost, which bounds the additional load on a
	// failing dispatcher.
	maxResends = 3
	// outOfServiceGrace is how long an instance that is out of service still serves
	// the requests that load balancers send to it.
	outOfServiceGrace = 3 * time.Second
)

// job is a request on its way from the receiving instance to an upstream.
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
	// recheck decides about the request again if the catalogue has changed since
	// decidedRevision. It is nil for jobs forwarded by another instance.
	recheck         func(*snapshot) *fleet.Refusal
	decidedRevision fleet.Revision // catalogue revision of the last decision
}

// Serve processes the request of a caller: it authenticates the caller, finds the
// entry, takes tokens of the limits, and routes the request to the upstream that
// owns its key.
func (n *Instance) Serve(ctx context.Context, in route.Incoming, body []byte) (*http1.Response, *fleet.Refusal) {
	start := time.Now()
	decided := n.snapshot().known.Catalogue
	routed, refusal := n.decide(ctx, start, in)
	if refusal != nil {
		n.recordRefusal(start, in.RequestID, routed, refusal)
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, routed.Deadline.Add(outcomeGrace))
	defer cancel()
	if refusal := n.acquireTokens(ctx, routed.Limits, routed.Deadline); refusal != nil {
		n.recordRefusal(start, in.RequestID, routed, refusal)
		return nil, refusal
	}
	res, refusal := n.route(ctx, &job{
		id: in.RequestID, account: routed.Account, service: routed.Service, key: routed.Key, class: routed.Entry.Class,
		deadline: routed.Deadline, method: in.Method, target: routed.Target, host: in.Host, header: routed.Header, body: body,
		decidedRevision: decided,
		recheck: func(s *snapshot) *fleet.Refusal {
			_, refusal := route.Decide(start, s.index, in)
			return refusal
		},
	})
	if refusal != nil {
		n.recordRefusal(start, in.RequestID, routed, refusal)
		return nil, refusal
	}
	n.metrics.Served(routed.Account, routed.Entry.Class, res.Status, time.Since(start))
	return res, nil
}

// decide waits for authority and then determines the account, the entry and the
// routing key of the request.
func (n *Instance) decide(ctx context.Context, start time.Time, in route.Incoming) (route.Routed, *fleet.Refusal) {
	for {
		now := time.Now()
		n.mu.Lock()
		hasAuthority := n.hasAuthority(now)
		n.mu.Unlock()
		if hasAuthority {
			if refusal := n.outOfService(now); refusal != nil {
				return route.Routed{}, refusal
			}
			return route.Decide(start, n.snapshot().index, in)
		}
		if now.Sub(start) > authorityWait || ctx.Err() != nil {
			return route.Routed{}, &fleet.Refusal{
				Reason: fleet.ReasonNoAuthority, RetryAfter: refusalRetryAfter,
				Detail: "this instance reaches neither the store nor a majority of its peers",
			}
		}
		sleep(ctx, routeRetryInterval)
	}
}

// outOfService refuses requests if operators have taken this instance out of
// service and outOfServiceGrace has passed.
func (n *Instance) outOfService(now time.Time) *fleet.Refusal {
	out, ok := n.currentOutage()
	n.mu.Lock()
	since := n.outOfServiceSince
	n.mu.Unlock()
	if !ok || since.IsZero() || now.Sub(since) < outOfServiceGrace {
		return nil
	}
	return &fleet.Refusal{
		Reason: fleet.ReasonOutOfService, RetryAfter: refusalRetryAfter,
		Detail: string(out.Kind) + " " + out.Name + " is out of service",
	}
}

// updateOutOfService records when this instance learned that it is out of service.
// The time in the catalogue is not used, since it is of the operator's clock. The
// caller holds mu.
func (n *Instance) updateOutOfService(now time.Time, s *snapshot) {
	switch _, out := n.outageIn(s); {
	case !out:
		n.outOfServiceSince = time.Time{}
	case n.outOfServiceSince.IsZero():
		n.outOfServiceSince = now
	}
}

// currentOutage returns the outage in the catalogue that covers this instance or
// its zone.
func (n *Instance) currentOutage() (catalogue.Outage, bool) { return n.outageIn(n.snapshot()) }

func (n *Instance) outageIn(s *snapshot) (catalogue.Outage, bool) {
	c := s.catalogue
	if o, ok := c.Out(catalogue.OutageInstance, string(n.self.ID)); ok {
		return o, true
	}
	return c.Out(catalogue.OutageZone, string(n.self.Zone))
}

// route sends the job to the dispatcher of the upstream that owns its key. It
// retries until the deadline while the job has certainly not run, since another
// owner or dispatcher may be assigned in the meantime. It also sends an idempotent
// job again if the connection to the dispatcher was lost.
func (n *Instance) route(ctx context.Context, j *job) (*http1.Response, *fleet.Refusal) {
	resends := 0
	for attempt := 0; ; attempt++ {
		res, refusal := n.routeAttempt(ctx, j, attempt)
		if refusal == nil {
			return res, nil
		}
		retry := canReroute(refusal)
		if refusal.Reason == fleet.ReasonConnectionLost && j.class == catalogue.Idempotent && resends < maxResends {
			resends++
			retry = true
		}
		if !retry || time.Now().Add(routeRetryInterval).After(j.deadline) || ctx.Err() != nil {
			return nil, refusal
		}
		n.awaitSnapshotChange(ctx, routeRetryInterval)
	}
}

// canReroute reports whether a request refused for this reason may succeed under a
// newer assignment.
func canReroute(r *fleet.Refusal) bool {
	switch r.Reason {
	case fleet.ReasonNoOwner, fleet.ReasonNoAuthority, fleet.ReasonDraining:
		return true
	default:
		return false
	}
}

func (n *Instance) awaitSnapshotChange(ctx context.Context, timeout time.Duration) {
	n.mu.Lock()
	changed := n.snapshotChanged
	n.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// routeAttempt sends the job to the dispatcher that the current snapshot names.
func (n *Instance) routeAttempt(ctx context.Context, j *job, attempt int) (*http1.Response, *fleet.Refusal) {
	s := n.snapshot()
	// The caller key may have been withdrawn while the request waited.
	if j.recheck != nil && s.known.Catalogue != j.decidedRevision {
		if refusal := j.recheck(s); refusal != nil {
			return nil, refusal
		}
		j.decidedRevision = s.known.Catalogue
	}
	ownership, ok := s.assignment.Owner(j.service.ID, j.key, j.service.Shards)
	if !ok || ownership.Owner == "" {
		return nil, noOwnerRefusal("no upstream owns the key")
	}
	up, ok := s.upstream(ownership.Owner)
	if !ok || up.Dispatcher == "" {
		return nil, noOwnerRefusal("upstream " + string(ownership.Owner) + " has no dispatcher")
	}
	attemptJob := *j
	attemptJob.id = attemptID(j.id, attempt)
	if up.Dispatcher == n.self.ID {
		return n.dispatchJob(ctx, &attemptJob)
	}
	m, ok := s.member(up.Dispatcher)
	if !ok {
		return nil, noOwnerRefusal("dispatcher " + string(up.Dispatcher) + " has left")
	}
	return n.forward(ctx, m, &attemptJob)
}

func noOwnerRefusal(detail string) *fleet.Refusal {
	return &fleet.Refusal{Reason: fleet.ReasonNoOwner, Detail: detail, RetryAfter: refusalRetryAfter}
}

// recordRefusal records a refusal for metrics and explanations.
func (n *Instance) recordRefusal(start time.Time, id fleet.RequestID, routed route.Routed, r *fleet.Refusal) {
	n.metrics.Refused(routed.Account, r.Reason)
	n.refusals.add(time.Now(), refusedRequest{id: id, account: routed.Account, entry: routed.Entry.ID, service: routed.Service.ID, key: routed.Key, refusal: *r, took: time.Since(start)})
}

// forwardRefusal converts the error of a forwarding call into a refusal.
func forwardRefusal(err error, dispatcher fleet.InstanceID) *fleet.Refusal {
	var notSent *http1.NotSentError
	if errors.As(err, &notSent) {
		return noOwnerRefusal("dispatcher " + string(dispatcher) + " cannot be reached")
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &fleet.Refusal{Reason: fleet.ReasonTimeout, Detail: "no answer from dispatcher " + string(dispatcher)}
	}
	return &fleet.Refusal{Reason: fleet.ReasonConnectionLost, Detail: "connection to dispatcher " + string(dispatcher) + " lost"}
}
