package direct

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	// hedgeFactor is the multiple of the typical service time after which an unanswered
	// idempotent request is also sent to a second upstream.
	hedgeFactor = 1.5
	// minHedgeShare is the share of the route's target latency before which a request
	// is not hedged.
	minHedgeShare = 0.3
	// sendMargin is the time reserved for a request to reach an upstream after the last
	// check that it may be sent there. It covers an instance that has used up its share of
	// a core and does not run for a while.
	sendMargin = 300 * time.Millisecond
	// leavingHolderUse is how long the holder of a key still receives requests after this
	// instance detected that it leaves. Its keys move within that time.
	leavingHolderUse = 900 * time.Millisecond
	// evacuatedHolderUse is how long the holder of a key in an evacuated zone still receives
	// requests after the evacuation may have begun. Requests must stop within 5 s.
	evacuatedHolderUse = 2500 * time.Millisecond
	// resumeSpread is the time over which the requests are spread that wait for the end of
	// a pause of their upstreams, and the shortest spread of the retry delays of refused
	// ones.
	resumeSpread = 100 * time.Millisecond
	// unreachableRetryDelay is the delay before a key's holder that could not be
	// reached is tried again.
	unreachableRetryDelay = 100 * time.Millisecond
	// lostRetryDelay is the delay before a request is sent a second time to a holder
	// that lost it; the delay before the third time is twice as long. A holder with a
	// long queue resets connections, and frees a slot about 100 ms later.
	lostRetryDelay = 150 * time.Millisecond
)

// attempt is one try of a request at one upstream, with its result.
type attempt struct {
	index    int // among those of the fanOut
	upstream *balance.Entry
	id       fleet.UpstreamID
	response *http1.Response
	metadata ResponseMetadata
	err      error
	verdict  balance.Verdict
}

// mayHaveRun reports whether the upstream may have run the request.
func (a attempt) mayHaveRun() bool {
	var notSent *http1.NotSentError
	return !errors.As(a.err, &notSent) && (a.err != nil || !a.metadata.NotRun)
}

// send sends x to an upstream and records the result. index identifies the attempt among
// those of x.
func (r *Router) send(ctx context.Context, x *exchange, upstream *balance.Entry, index int) attempt {
	sentAt := time.Now()
	r.mu.Lock()
	run := upstream.Registration
	flight := r.startFlight(sentAt, x, upstream)
	r.mu.Unlock()
	a := attempt{index: index, upstream: upstream, id: run.ID}
	req := &http1.Request{
		Method: x.method, Target: x.target, Host: x.host, Chunks: x.body, Attempts: &x.attemptGroup, Stream: true,
		BeforeWrite: func() error {
			if err := r.checkSend(time.Now(), x, upstream); err != nil {
				return err
			}
			return x.sends.begin(index)
		},
		Header: r.platform.Protocol.UpstreamHeader(x.header, ForwardMetadata{Upstream: run.ID, Timeout: x.deadline.Sub(sentAt), Account: x.account.ID}),
	}
	var refusal *http1.Response
	a.response, a.err = r.platform.UpstreamTransport.Do(ctx, run.Addr, req, func(res *http1.Response) error {
		metadata := r.platform.Protocol.ParseResponse(res.Status, res.Header)
		if err := checkResponse(res, metadata, x.info.ID); err != nil {
			return err
		}
		if metadata.NotRun {
			refusal = res
		}
		if metadata.Leaving { // holds even if the rest of the response is lost
			r.noteLeaving(time.Now(), upstream, x.info.ID, "answer")
		}
		r.notePause(time.Now(), upstream, metadata.Pause, x.info.ID, "answer")
		r.noteLimit(time.Now(), sentAt, upstream, metadata.Limit, !metadata.NotRun, x.info.ID, "answer")
		return nil
	})
	r.metrics.countBodyWrite(a.response, a.err)
	if a.err != nil && refusal != nil {
		a.response, a.err = refusal, nil // its body is not needed
	}
	now := time.Now()
	if a.err == nil {
		a.metadata = r.platform.Protocol.ParseResponse(a.response.Status, a.response.Header)
		if a.metadata.NotRun && a.metadata.ID == "" && !a.response.FirstOnConn {
			a.err = &http1.LostError{Addr: run.Addr, Err: errors.New("the refusal has no request id and may belong to an earlier request")}
		}
	}
	if a.response != nil && a.response.Stream != nil && (a.err != nil || a.metadata.NotRun) {
		a.response.Stream.Close() // a refusal is not passed on
	}
	a.verdict = classify(ctx, now, a, now.Sub(sentAt))
	if !a.mayHaveRun() {
		x.sends.notRun(index)
	}
	r.mu.Lock()
	noAnswer := a.verdict == balance.Silent && !upstream.AnsweredSince(sentAt)
	r.upstreams.Ended(now, upstream, a.verdict, now.Sub(sentAt), a.metadata.Load)
	r.countAttempt(x, a)
	if a.verdict == balance.Answered {
		r.noteResponse(x, run, a.response)
	}
	r.noteHolderLoad(now, x, a)
	x.attempts = append(x.attempts, formatAttempt(a, now.Sub(sentAt)))
	r.endFlight(ctx, now, flight, a)
	r.mu.Unlock()
	if noAnswer {
		r.platform.UpstreamTransport.CloseIdle(run.Addr) // its other connections may have failed silently too
	}
	return a
}

// sends tracks which attempts of a request may have run, so that a refusal that promises
// the contrary stays true while attempts are still in progress.
type sends struct {
	mu     sync.Mutex
	closed bool
	begun  map[int]bool // attempts of which a byte may have been written
}

// errRequestEnded means that a request was answered before an attempt was written.
var errRequestEnded = errors.New("the request has already been answered")

// begin records that an attempt is about to be written, unless the request has ended.
func (s *sends) begin(index int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errRequestEnded
	}
	if s.begun == nil {
		s.begun = make(map[int]bool)
	}
	s.begun[index] = true
	return nil
}

// notRun records that an attempt has ended and that its upstream has not run the request.
func (s *sends) notRun(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.begun, index)
}

// close prevents further attempts from being written, and reports whether one may have run.
func (s *sends) close() (mayHaveRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return len(s.begun) > 0
}

// errStopping means that this instance stops before an upstream could answer a request.
var errStopping = errors.New("the instance stops before the upstream could answer")

// errNotAllowed means that an upstream stopped being usable for a request while the
// request waited for a connection.
var errNotAllowed = errors.New("the upstream may no longer be sent the request")

// checkSend returns errNotAllowed if x may no longer be sent to upstream, and errStopping
// if this instance cannot pass the answer on any more.
func (r *Router) checkSend(now time.Time, x *exchange, upstream *balance.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	serviceTime := time.Duration(r.upstreams.ServiceTime(now, upstream) * float64(time.Second))
	switch {
	case !r.stopAt.IsZero() && now.Add(serviceTime).After(r.stopAt):
		return errStopping
	case r.upstreams.Get(upstream.ID) != upstream, now.Before(upstream.PausedUntil()),
		x.service.Sharded && r.holderEnds(now, upstream) != "",
		!x.service.Sharded && !(r.upstreams.InService(upstream) && r.versionAllowed(now, upstream)):
		return errNotAllowed
	}
	return nil
}

// release states that a request that was counted as in flight at upstream is not sent
// there.
func (r *Router) release(now time.Time, upstream *balance.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams.Ended(now, upstream, balance.Abandoned, 0, nil)
}

// noteLeaving records that an upstream has said that it leaves. source is the kind of the
// answer, and id the request that it answers, if any. Unlike the list of upstreams, such
// an answer needs neither the store nor the leader.
func (r *Router) noteLeaving(now time.Time, upstream *balance.Entry, id fleet.RequestID, source string) {
	r.mu.Lock()
	changed, run := r.upstreams.SaidLeaving(now, upstream), upstream.Registration
	if changed {
		close(r.newsReady)
		r.newsReady = make(chan struct{})
	}
	r.mu.Unlock()
	if changed {
		r.log.Info("upstream said that it leaves", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source)
	}
}

// notePause records that an upstream wants no requests for some time. source is the kind
// of the answer that says so, and id the request that it answers, if any.
func (r *Router) notePause(now time.Time, upstream *balance.Entry, p balance.Pause, id fleet.RequestID, source string) {
	if !p.Asked && !p.Invalid {
		return
	}
	r.mu.Lock()
	var added time.Duration
	began := false
	if p.Asked {
		added, began = r.upstreams.Pause(now, upstream, p.For)
	}
	run, until := upstream.Registration, upstream.PausedUntil()
	invalid := p.Invalid || p.For > balance.MaxPause
	logInvalid := invalid && now.Sub(r.invalidPauseLoggedAt) >= invalidLogInterval
	if logInvalid {
		r.invalidPauseLoggedAt = now
	}
	r.mu.Unlock()
	r.metrics.pauseSeconds.WithLabelValues(serviceLabel(run.Service)).Add(added.Seconds())
	if invalid {
		r.metrics.invalidPauses.Inc()
	}
	if logInvalid {
		r.log.Warn("invalid pause of an upstream", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source, "asked", p.For.String())
	}
	if began {
		r.log.Info("upstream paused", "upstream", run.ID, "boot", run.Boot, "request", id, "source", source, "for-ms", until.Sub(now).Milliseconds())
	}
}

// errNotConfirmed means that a response is a success that the upstream does not confirm, by the id
// of the request and its receipt. The request may have run.
var errNotConfirmed = errors.New("the success is not confirmed by the id of the request and a receipt")

// checkResponse returns an error if a response cannot be the answer to the request with the id
// requestID. Upstreams echo the id of a request. A response without one is accepted on a new
// connection, if it is no success; on a kept one it may belong to an earlier request, which an
// upstream has answered twice, and the answer to this request follows.
func checkResponse(res *http1.Response, m ResponseMetadata, requestID fleet.RequestID) error {
	switch success := res.Status < http.StatusMultipleChoices; {
	case m.ID != requestID && (m.ID != "" || !res.FirstOnConn):
		return http1.ErrOtherRequest
	case success && (m.ID == "" || !m.Receipt):
		return errNotConfirmed
	}
	return nil
}

// minConnectTime is the time that an upstream has to accept a connection before it counts
// as unreachable.
const minConnectTime = 100 * time.Millisecond

// classify returns the verdict on an attempt that took the given time, for load balancing.
// ctx is that of the request.
func classify(ctx context.Context, now time.Time, a attempt, took time.Duration) balance.Verdict {
	var notSent *http1.NotSentError
	deadline, hasDeadline := ctx.Deadline()
	expired := hasDeadline && !now.Before(deadline) // ctx.Err may still be nil
	switch {
	case a.err != nil && errors.Is(ctx.Err(), context.Canceled):
		return balance.Abandoned
	case expired && took < minConnectTime && errors.As(a.err, &notSent):
		return balance.Abandoned
	case errors.Is(a.err, errNotAllowed), errors.Is(a.err, errStopping), errors.Is(a.err, errRequestEnded), errors.Is(a.err, http1.ErrBodiesUnderWay):
		return balance.Abandoned
	case errors.Is(a.err, http1.ErrConnRejected):
		return balance.Full
	case errors.As(a.err, &notSent):
		return balance.Unreachable
	case a.err != nil:
		return balance.Silent
	case a.metadata.NotHolder:
		return balance.Declined
	case a.metadata.NotRun:
		return balance.Full
	case a.response.Status >= http.StatusInternalServerError:
		return balance.Failed
	case a.response.Status >= http.StatusMultipleChoices:
		return balance.Declined // such an answer says nothing about the service time
	}
	return balance.Answered
}

func formatAttempt(a attempt, took time.Duration) string {
	if a.err != nil {
		return fmt.Sprintf("%s:%v:%dms", a.id, a.err, took.Milliseconds())
	}
	return fmt.Sprintf("%s:%d:%dms", a.id, a.response.Status, took.Milliseconds())
}

// promisesNotRun reports whether status tells a caller that its request has not run and
// may be sent again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// upstreamOutcome returns the outcome of an attempt that the upstream has answered and
// may have run. If x is not idempotent, a status that promises the contrary is replaced.
func upstreamOutcome(p Protocol, x *exchange, a attempt) outcome {
	if !x.route.Repeatable() && promisesNotRun(a.response.Status) {
		return refuse(http.StatusBadGateway, "upstream-lost", 0)
	}
	return outcome{status: a.response.Status, header: p.CallerHeader(a.response.Header), body: a.response.Body, stream: a.response.Stream, upstream: a.upstream}
}
