package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Action is something that the caller of a Table has to do. It is one of
// SendRequest, CancelRequest, Refuse, Answer, SendControl, AskReleased,
// CloseConnections and Event.
type Action interface{ action() }

// SendRequest starts an attempt. It ends with Table.Done.
type SendRequest struct {
	ID              fleet.RequestID
	Upstream        fleet.UpstreamID
	Address         string
	Attempt         int // from 1
	Unit            fleet.Unit
	Fence           fleet.Fence
	DispatcherFence fleet.Fence
	Deadline        time.Time
	StartBy         time.Time // not sent, and not started by the upstream, at or after this
	Fresh           bool      // on a new connection
}

// CancelRequest closes the connection of an attempt whose response is no longer
// wanted. The attempt still ends with Table.Done.
type CancelRequest struct {
	ID      fleet.RequestID
	Attempt int
}

// Refuse ends a request without a response.
type Refuse struct {
	ID      fleet.RequestID
	Refusal fleet.Refusal
}

// Answer ends a request with the response of an attempt.
type Answer struct {
	ID      fleet.RequestID
	Attempt int
}

// SendControl starts a control call. It ends with Table.ControlDone.
type SendControl struct {
	Upstream fleet.UpstreamID
	Address  string
	Seq      uint64
	Call     Call
	Timeout  time.Duration
}

// AskReleased asks the dispatcher of Previous whether the units are released
// there; PreviousReleased reports those that are.
type AskReleased struct {
	Upstream fleet.UpstreamID
	Previous fleet.UpstreamID
	Grants   []fleet.Grant
}

// CloseConnections closes the idle connections to an upstream.
type CloseConnections struct {
	Upstream fleet.UpstreamID
	Address  string
}

// Event is a change of state for logs and explanations.
type Event struct {
	Upstream fleet.UpstreamID
	Kind     string
	Detail   string
}

func (SendRequest) action()      {}
func (CancelRequest) action()    {}
func (Refuse) action()           {}
func (Answer) action()           {}
func (SendControl) action()      {}
func (AskReleased) action()      {}
func (CloseConnections) action() {}
func (Event) action()            {}

// Stamp is a reading of an upstream's own clock.
type Stamp int64

// CallKind is the kind of a control call.
type CallKind uint8

// Kinds of control calls.
const (
	Hello CallKind = iota + 1
	Renew
	GrantUnits
	RevokeUnits
)

// String returns the last element of the call's path.
func (k CallKind) String() string {
	switch k {
	case Hello:
		return "hello"
	case Renew:
		return "renew"
	case GrantUnits:
		return "grant"
	case RevokeUnits:
		return "revoke"
	default:
		return "unknown"
	}
}

// Call is a control call to an upstream.
type Call struct {
	Kind            CallKind
	DispatcherFence fleet.Fence
	Instance        fleet.InstanceID // hello
	Stamp           Stamp            // renew
	TTL             time.Duration    // renew
	Grants          []fleet.Grant    // grant and revoke
}

// Reply is the response of an upstream to a control call.
type Reply struct {
	Boot  fleet.BootID
	Stamp Stamp
	Fence fleet.Fence // highest dispatcher fence that the upstream has seen
	// Running counts the requests under lower dispatcher fences that still run.
	Running int
}

// ControlResult is the end of a control call.
type ControlResult struct {
	Upstream fleet.UpstreamID
	Seq      uint64
	Reply    Reply // complete if OK; only Fence if Refused
	OK       bool
	Refused  bool // the upstream answered and did not accept the call
}

// ResultKind says how an attempt ended.
type ResultKind uint8

// Ends of an attempt. After Shed, Stale, NotSent and Skipped the request
// provably never started.
const (
	Answered  ResultKind = iota + 1
	Shed                 // the upstream refused: no free slot
	Stale                // the upstream refused: no such grant or lease
	NotSent              // no connection
	Skipped              // not sent for a local reason, such as a start-by time in the past
	Lost                 // the connection failed after the first byte was written
	TimedOut             // no response before the deadline
	BadAnswer            // the response belongs to another request
)

// Ran reports whether the request may have started.
func (k ResultKind) Ran() bool {
	return k == Answered || k == Lost || k == TimedOut || k == BadAnswer
}

// Result is the end of an attempt.
type Result struct {
	Kind    ResultKind
	Status  int            // HTTP status, if Answered
	Boot    fleet.BootID   // from the response; empty if none
	Refusal *fleet.Refusal // nil: the table chooses one
}

func (r Result) refusal() fleet.Refusal {
	if r.Refusal != nil && (r.Refusal.Reason.Outcome() == fleet.Unknown) == r.Kind.Ran() {
		return *r.Refusal
	}
	switch r.Kind {
	case Shed:
		return fleet.Refusal{Reason: fleet.ReasonOverloaded, Detail: "the upstream has no free slot", RetryAfter: time.Second}
	case Stale, NotSent:
		return fleet.Refusal{Reason: fleet.ReasonNoOwner, Detail: "the owner did not accept the request"}
	case Skipped:
		return fleet.Refusal{Reason: fleet.ReasonOverloaded, Detail: "the request could not be sent in time", RetryAfter: time.Second}
	case TimedOut:
		return fleet.Refusal{Reason: fleet.ReasonTimeout, Detail: "no response before the deadline"}
	case BadAnswer:
		return fleet.Refusal{Reason: fleet.ReasonBadAnswer, Detail: "the response belongs to another request"}
	default:
		return fleet.Refusal{Reason: fleet.ReasonConnectionLost, Detail: "the connection to the upstream was lost"}
	}
}
