package peer

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Phase says what an instance wants of the planner.
type Phase string

const (
	// Serving instances take part in everything.
	Serving Phase = "serving"
	// Draining instances ask for their duties to be moved and for their removal
	// from the member list.
	Draining Phase = "draining"
)

// PollRequest asks what a peer knows; it is also the heartbeat.
type PollRequest struct {
	From  assignment.Member
	Phase Phase
	Known authority.Known
	// Details asks for Heard and Reports, which only the planner needs all the
	// time; without them a poll costs less than half.
	Details bool
	// PollBack asks the planner to poll the sender at once, because its reports
	// have changed.
	PollBack bool
}

// PollAnswer tells what an instance knows.
type PollAnswer struct {
	From    fleet.InstanceID
	Boot    fleet.BootID
	Phase   Phase
	Known   authority.Known
	Details bool
	// StoreAge is the time since the store last answered this instance, or
	// negative if it never did.
	StoreAge time.Duration
	// Heard is the time since each member last answered this instance, if Details.
	Heard map[fleet.InstanceID]time.Duration
	// Reports are about the upstreams that this instance dispatches for, if Details.
	Reports map[fleet.UpstreamID]assignment.Report
}

// RecordsRequest asks for the records that are newer than Known.
type RecordsRequest struct {
	Known authority.Known
}

// RecordsAnswer carries the newer records; a revision of 0 means no newer one.
type RecordsAnswer struct {
	CatalogueRevision  fleet.Revision
	Catalogue          []byte
	AssignmentRevision fleet.Revision
	Assignment         []byte
}

// TokensRequest asks the home of a limit for tokens.
type TokensRequest struct {
	Holder fleet.InstanceID
	Call   limit.Call
}

// TokensAnswer carries a token lease. A lease without TTL means that the
// answering instance may not grant tokens of this limit now.
type TokensAnswer struct {
	Lease limit.Lease
}

// ReleasedRequest asks the dispatcher of Upstream whether every grant of the
// units there with a lower fence has ended.
type ReleasedRequest struct {
	Upstream   fleet.UpstreamID
	Assignment fleet.Revision // the asker's; the answerer must know it too
	Grants     []fleet.Grant
}

// ReleasedAnswer has one element per grant.
type ReleasedAnswer struct {
	Released []bool
}

// HomeReleaseRequest asks the former home of limits to stop granting their
// tokens and to say what is left.
type HomeReleaseRequest struct {
	Assignment fleet.Revision // the asker's; the answerer must know it too
	IDs        []fleet.LimitID
}

// HomeReleaseAnswer has one level per id. Done is false if the answering
// instance does not know the assignment yet.
type HomeReleaseAnswer struct {
	Done   bool
	Levels []fleet.Tokens
}

// ExplainRequest carries an encoded operator query to the other instances.
type ExplainRequest struct {
	Query []byte
}

// ExplainAnswer carries the encoded explanation.
type ExplainAnswer struct {
	Explanation []byte
}
