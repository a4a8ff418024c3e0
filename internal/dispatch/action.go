package dispatch

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Action is an operation that the caller of a Table executes. It is one of
// SendRequest, CancelRequest, Refuse, Answer, SendControl, AskReleased,
// CloseConnections and Event.
type Action interface{ action() }

// SendRequest starts an attempt. The caller reports its end with Table.Done.
type SendRequest struct {
	ID              fleet.RequestID
	Upstream        fleet.UpstreamID
	Address         string
	Attempt         int // counts from 1
	Unit            fleet.Unit
	Fence           fleet.Fence
	DispatcherFence fleet.Fence
	Deadline        time.Time
	StartBy         time.Time // must not be sent, or started by the upstream, at or after this time
	NewConnection   bool      // use a new connection
}

// CancelRequest closes the connection of an attempt whose response is no longer
// needed. The caller still reports the end of the attempt with Table.Done.
type CancelRequest struct {
	ID      fleet.RequestID
	Attempt int
}

// Refuse ends a request without a response.
type Refuse struct {
	ID      fleet.RequestID
	Refusal fleet.Refusal
}

// Answer ends a request with the response to one of its attempts.
type Answer struct {
	ID      fleet.RequestID
	Attempt int
}

// SendControl starts a control call. The caller reports its end with
// Table.ControlDone.
type SendControl struct {
	Upstream fleet.UpstreamID
	Address  string
	Seq      uint64
	Call     Call
	Timeout  time.Duration
}

// AskReleased asks the dispatcher of Previous whether the units are released at that
// upstream. The caller reports the released ones with Table.PreviousReleased.
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

// Event reports a change of state for logs and explanations.
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

// Stamp is a reading of an upstream's clock, which only the upstream interprets.
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
	Instance        fleet.InstanceID // for Hello
	Stamp           Stamp            // for Renew
	TTL             time.Duration    // for Renew
	Grants          []fleet.Grant    // for GrantUnits and RevokeUnits
}

// Reply is the response of an upstream to a control call.
type Reply struct {
	Boot  fleet.BootID
	Stamp Stamp
	Fence fleet.Fence // highest dispatcher fence that the upstream has seen
	// Running is the number of requests under lower dispatcher fences that still run.
	Running int
}

// ControlResult is the result of a control call. A call without a response has
// neither OK nor Refused set.
type ControlResult struct {
	Upstream fleet.UpstreamID
	Seq      uint64
	Reply    Reply // complete if OK; only Fence if Refused
	OK       bool
	Refused  bool // the upstream responded but rejected the call
}

// ResultKind says how an attempt ended.
type ResultKind uint8

// Kinds of results. After Shed, Stale, NotSent and Skipped the request provably
// never started.
const (
	Answered  ResultKind = iota + 1
	Shed                 // the upstream refused: no free slot
	Stale                // the upstream refused: no grant under this fence, or no lease
	NotSent              // no connection could be opened
	Skipped              // not sent for a local reason, such as a passed start-by time
	Lost                 // the connection failed after the first byte was written
	TimedOut             // no response before the deadline
	BadAnswer            // the response belongs to another request
)

// MayHaveRun reports whether the request may have started.
func (k ResultKind) MayHaveRun() bool {
	return k == Answered || k == Lost || k == TimedOut || k == BadAnswer
}

// Result is the result of an attempt.
type Result struct {
	Kind    ResultKind
	Status  int            // HTTP status, if Answered
	Boot    fleet.BootID   // from the response; empty if it has none
	Refusal *fleet.Refusal // nil: the table chooses one
}

func (r Result) refusal() fleet.Refusal {
	if r.Refusal != nil && (r.Refusal.Reason.Outcome() == fleet.Unknown) == r.Kind.MayHaveRun() {
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
