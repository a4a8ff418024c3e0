package fleet

import (
	"net/http"
	"time"
)

// Outcome states whether an upstream may have executed a refused request.
type Outcome string

const (
	// NotRun means that no upstream has started or will start the request. It is safe
	// to send it again.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have executed the request, or may still do so.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal.
type Reason string

// Reasons for a refusal. The outcome of ReasonTimeout, ReasonConnectionLost and
// ReasonBadAnswer is Unknown; that of all others is NotRun.
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

// Reasons returns every reason with its HTTP status. The caller may modify the map.
func Reasons() map[Reason]int {
	out := make(map[Reason]int, len(reasonStatus))
	for r, status := range reasonStatus {
		out[r] = status
	}
	return out
}

// Status returns the HTTP status of r. It is 500 if r is not in Reasons.
func (r Reason) Status() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Outcome returns the outcome of a request that was refused for r.
func (r Reason) Outcome() Outcome {
	switch r {
	case ReasonTimeout, ReasonConnectionLost, ReasonBadAnswer:
		return Unknown
	default:
		return NotRun
	}
}

// Refusal is the error response to a request that was not served.
type Refusal struct {
	Reason     Reason
	Detail     string        // one sentence for the caller's developers; never contains a caller key
	RetryAfter time.Duration // time after which a retry may succeed; 0: not known
}

// Error returns "outcome: reason: detail", without the detail if it is empty.
func (r *Refusal) Error() string {
	s := string(r.Reason.Outcome()) + ": " + string(r.Reason)
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	return s
}

// Names of HTTP headers of requests to upstreams, of their responses and of
// refusals.
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
