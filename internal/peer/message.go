package peer

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/limit"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Phase is the lifecycle state that an instance reports to the planner.
type Phase string

const (
	// Serving instances are members and may be assigned upstreams and limits.
	Serving Phase = "serving"
	// Draining instances ask the planner to reassign their upstreams and limits and
	// to remove them from the member list.
	Draining Phase = "draining"
)

// PollRequest asks an instance for its state. It also serves as the heartbeat of
// the sender.
type PollRequest struct {
	From  assignment.Member   // the sender
	Phase Phase               // phase of the sender
	Known authority.Revisions // newest record revisions that the sender has
	// Details asks for AnswerAges and Reports in the answer. Only the planner needs them
	// in every poll; a poll without them costs less than half.
	Details bool
	// PollBack asks the planner to poll the sender immediately, because the
	// sender's upstream reports have changed.
	PollBack bool
}

// PollAnswer is the state of the answering instance.
type PollAnswer struct {
	From    fleet.InstanceID
	Boot    fleet.BootID
	Phase   Phase
	Known   authority.Revisions // newest record revisions that the instance has
	Details bool                // whether AnswerAges and Reports are present
	// StoreAge is the time since the store last answered this instance. It is
	// negative if the store never did.
	StoreAge time.Duration
	// AnswerAges holds, for each member, the time since it last answered this
	// instance. It is set only with Details.
	AnswerAges map[fleet.InstanceID]time.Duration
	// Reports holds the load reports of the upstreams that this instance is the
	// dispatcher of. It is set only with Details.
	Reports map[fleet.UpstreamID]assignment.Report
}

// RecordsRequest asks for the catalogue and assignment records whose revisions are
// higher than those in Known.
type RecordsRequest struct {
	Known authority.Revisions
}

// RecordsAnswer carries the requested records in their encoded form. A revision of
// 0 means that the answering instance has no newer record of that kind.
type RecordsAnswer struct {
	CatalogueRevision  fleet.Revision
	Catalogue          []byte
	AssignmentRevision fleet.Revision
	Assignment         []byte
}

// TokensRequest asks the home of a limit, the instance that keeps its token
// bucket, for a lease of tokens.
type TokensRequest struct {
	Holder fleet.InstanceID // instance that will spend the tokens
	Call   limit.Call
}

// TokensAnswer carries a token lease. A lease with a TTL of 0 means that the
// answering instance may not grant tokens of this limit now.
type TokensAnswer struct {
	Lease limit.Lease
}

// ReleasedRequest asks the dispatcher of Upstream, for the unit of each grant,
// whether every grant of the unit to Upstream with a lower fence has ended.
type ReleasedRequest struct {
	Upstream   fleet.UpstreamID
	Assignment fleet.Revision // of the sender; a receiver with an older one confirms nothing
	Grants     []fleet.Grant
}

// ReleasedAnswer holds one element per grant of the request, in the same order.
type ReleasedAnswer struct {
	Released []bool
}

// HomeReleaseRequest asks the former home of limits to stop granting their tokens
// and to return the levels of their token buckets.
type HomeReleaseRequest struct {
	Assignment fleet.Revision // of the sender; a receiver with an older one releases nothing
	IDs        []fleet.LimitID
}

// HomeReleaseAnswer holds the tokens left in each bucket, in the order of the
// request's IDs. Done is false, and Levels is unset, if the answering instance
// does not know the assignment yet.
type HomeReleaseAnswer struct {
	Done   bool
	Levels []fleet.Tokens
}

// ExplainRequest carries an operator's query to another instance, as the URL query
// string of operator.QueryValues.
type ExplainRequest struct {
	Query []byte
}

// ExplainAnswer carries an operator.Explanation as JSON. It is empty if the query
// could not be parsed.
type ExplainAnswer struct {
	Explanation []byte
}
