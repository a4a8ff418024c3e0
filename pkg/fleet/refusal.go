package fleet

import (
	"net/http"
	"time"
)

// Outcome says whether a refused request may have run.
type Outcome string

const (
	// NotRun means that the request provably never started; repeating it is safe.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused.
type Reason string

// Reasons for a refusal. ReasonTimeout, ReasonConnectionLost and
// ReasonBadAnswer leave the outcome unknown; all others mean not run.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonNoRoute          Reason = "no-route"
	ReasonTooLarge         Reason = "too-large"
	ReasonRateLimited      Reason = "rate-limited"
	ReasonOverloaded       Reason = "overloaded"
	ReasonNoAuthority      Reason = "no-authority"
	ReasonNoOwner          Reason = "no-owner"
	ReasonLimitUnavailable Reason = "limit-unavailable"
	ReasonOutOfService     Reason = "out-of-service"
	ReasonDraining         Reason = "draining"
	ReasonDeadline         Reason = "deadline"
	ReasonTimeout          Reason = "timeout"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonBadAnswer        Reason = "bad-answer"
)

var reasonStatus = map[Reason]int{
	ReasonBadRequest:       http.StatusBadRequest,
	ReasonUnauthenticated:  http.StatusUnauthorized,
	ReasonForbidden:        http.StatusForbidden,
	ReasonNoRoute:          http.StatusNotFound,
	ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	ReasonRateLimited:      http.StatusTooManyRequests,
	ReasonOverloaded:       http.StatusServiceUnavailable,
	ReasonNoAuthority:      http.StatusServiceUnavailable,
	ReasonNoOwner:          http.StatusServiceUnavailable,
	ReasonLimitUnavailable: http.StatusServiceUnavailable,
	ReasonOutOfService:     http.StatusServiceUnavailable,
	ReasonDraining:         http.StatusServiceUnavailable,
	ReasonDeadline:         http.StatusGatewayTimeout,
	ReasonTimeout:          http.StatusGatewayTimeout,
	ReasonConnectionLost:   http.StatusBadGateway,
	ReasonBadAnswer:        http.StatusBadGateway,
}

// Reasons returns every reason with its HTTP status.
func Reasons() map[Reason]int {
	out := make(map[Reason]int, len(reasonStatus))
	for r, status := range reasonStatus {
		out[r] = status
	}
	return out
}

// Status returns the HTTP status of the reason, 500 for an unknown one.
func (r Reason) Status() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Outcome returns what the reason says about the request.
func (r Reason) Outcome() Outcome {
	switch r {
	case ReasonTimeout, ReasonConnectionLost, ReasonBadAnswer:
		return Unknown
	default:
		return NotRun
	}
}

// Refusal is the answer to a request that was not served.
type Refusal struct {
	Reason     Reason
	Detail     string        // one sentence for people; never contains a caller key
	RetryAfter time.Duration // 0: no advice
}

// Error returns the outcome, the reason and the detail.
func (r *Refusal) Error() string {
	s := string(r.Reason.Outcome()) + ": " + string(r.Reason)
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	return s
}

// Names of headers in requests to upstreams, in their answers and in refusals.
const (
	HeaderOutcome         = "Parsley-Outcome"
	HeaderReason          = "Parsley-Reason"
	HeaderRequestID       = "Parsley-Request-Id"
	HeaderBoot            = "Parsley-Boot"
	HeaderDispatcherFence = "Parsley-Dispatcher-Fence"
	HeaderShard           = "Parsley-Shard"
	HeaderPin             = "Parsley-Pin"
	HeaderFence           = "Parsley-Fence"
	HeaderDeadline        = "Parsley-Deadline-Ms"
	HeaderStartBy         = "Parsley-Start-By"
	HeaderAccount         = "Parsley-Account"
)
