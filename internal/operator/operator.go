// Package operator implements the HTTP API for operators and its client.
//
// Operators change the catalogue by storing an edited version of a given revision.
// The API never merges edits and never retries: if another edit was stored since
// that revision, the operator gets a conflict with the current revision and its
// author. Whether a change is stored and whether it is in force are reported
// separately, because until it is in force an instance may still act on the
// previous revision.
//
// All operators share one bearer token. The operator name in a change is therefore
// recorded but not authenticated.
package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Backend provides the operations of the API. An instance implements it; Client
// implements it over HTTP.
type Backend interface {
	// Catalogue returns the newest catalogue that the backend can read, and its
	// revision.
	Catalogue(ctx context.Context) (*catalogue.Catalogue, fleet.Revision, error)
	// Apply stores c in the name of the operator by if the catalogue's revision is
	// still base, and returns the new revision. The error is a *ConflictError, an
	// *UnknownError or an *UnavailableError.
	Apply(ctx context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error)
	// InForce reports how far the catalogue revision rev, or a later one, has been
	// put in force.
	InForce(ctx context.Context, rev fleet.Revision) (Progress, error)
	// Status returns the state of the fleet as the backend sees it.
	Status(ctx context.Context) (Status, error)
	// Explain answers q from the records of the members that can be reached.
	Explain(ctx context.Context, q Query) (Explanation, error)
}

// Progress is the state of a stored catalogue revision on its way into force.
type Progress struct {
	Revision fleet.Revision
	Accepted time.Time // when the store accepted the revision; zero if not known
	Learned  int       // number of members that have the revision or a later one
	Members  int       // number of all members
	InForce  bool      // whether no instance acts on an earlier revision any more
	Since    time.Time // when the revision came into force; zero if not known
}

// Status is the state of the fleet as one instance sees it.
type Status struct {
	Instance           fleet.InstanceID // the reporting instance
	Zone               fleet.ZoneID
	Boot               fleet.BootID
	Now                time.Time        // clock of the instance
	AuthorityUntil     time.Time        // end of the instance's authority to act; not after Now if it has none
	StoreAnswered      time.Time        // last response of the store; zero if none
	CatalogueRevision  fleet.Revision   // catalogue revision that the instance has
	AssignmentRevision fleet.Revision   // assignment revision that the instance has
	Planner            fleet.InstanceID // empty if no member is alive
	Members            []MemberStatus
	Upstreams          []UpstreamStatus
	OutOfService       []catalogue.Outage
}

// MemberStatus is the state of one instance in the member list.
type MemberStatus struct {
	ID         fleet.InstanceID
	Zone       fleet.ZoneID
	Address    string    // "IP:port" for control connections
	LastAnswer time.Time // last answer to a poll by the reporting instance; zero if none
}

// UpstreamStatus is the state of one upstream. Limit, Slots, InFlight and Queued
// come from the report of its dispatcher and are zero without one.
type UpstreamStatus struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Zone       fleet.ZoneID
	Dispatcher fleet.InstanceID // empty: none
	State      string           // live, leaving or lost
	Known      bool             // whether the dispatcher's report is known
	Limit      fleet.Slots      // concurrent requests allowed now; below Slots while warming
	Slots      fleet.Slots      // concurrent requests allowed when warm
	InFlight   fleet.Slots      // requests at the upstream
	Queued     int              // requests that wait for a slot
}

// Query is a question to Explain: KeyQuery, RequestQuery or AccountQuery.
type Query interface{ query() }

// KeyQuery asks who owns a routing key and why.
type KeyQuery struct {
	Service fleet.ServiceID
	Key     fleet.RoutingKey
}

// RequestQuery asks why a request was refused.
type RequestQuery struct{ ID fleet.RequestID }

// AccountQuery asks which recent requests of a client account were refused.
type AccountQuery struct{ ID fleet.AccountID }

func (KeyQuery) query()     {}
func (RequestQuery) query() {}
func (AccountQuery) query() {}

// Explanation answers a Query. Each instance keeps the moves and refusals that it
// saw in memory only, so members in Missing may hold further ones.
type Explanation struct {
	Answered []fleet.InstanceID // members whose moves and refusals are included
	Missing  []fleet.InstanceID // members that did not answer in time
	Owner    *Ownership         // for a KeyQuery, if the key has an owner
	Moves    []Move             // newest first
	Refusals []RefusedRequest   // newest first
}

// Ownership describes the owner of a routing key.
type Ownership struct {
	Unit       fleet.Unit // unit that contains the key
	Owner      fleet.UpstreamID
	Fence      fleet.Fence        // fencing token of the owner
	Since      time.Time          // time of the move to the owner; zero if no instance remembers it
	Dispatcher fleet.InstanceID   // dispatcher of the owner
	Previous   []fleet.UpstreamID // owners that have not released the unit yet, oldest first
}

// Move is a change of the owner of a unit.
type Move struct {
	At     time.Time
	Unit   fleet.Unit
	From   fleet.UpstreamID // empty: none
	To     fleet.UpstreamID
	Fence  fleet.Fence // fencing token of the new owner
	Cause  string
	Detail string
}

// RefusedRequest is a record of a refused request. Detail never contains a caller key.
type RefusedRequest struct {
	At       time.Time
	Instance fleet.InstanceID // instance that refused the request
	Request  fleet.RequestID
	Account  fleet.AccountID // empty: not authenticated
	Entry    fleet.EntryID
	Key      fleet.RoutingKey
	Reason   fleet.Reason
	Detail   string
}

// ConflictError reports that an edit was not stored because another edit of the
// same revision was stored first.
type ConflictError struct {
	Base    fleet.Revision // revision that the refused edit is based on
	Current fleet.Revision // current revision
	By      string         // operator who wrote the current revision; empty if not known
	At      time.Time      // when the current revision was written; zero if not known
}

func (e *ConflictError) Error() string {
	s := fmt.Sprintf("the edit is based on revision %d, but the catalogue is at revision %d", e.Base, e.Current)
	if e.By != "" {
		s += ", written by " + e.By
	}
	if !e.At.IsZero() {
		s += " at " + e.At.UTC().Format(time.RFC3339)
	}
	return s
}

// UnknownError reports that it is not known whether an edit was stored.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string {
	return "the edit may have been stored: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError reports that a call could not be carried out and changed
// nothing, for example because the store does not answer.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return "nothing was changed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// InvalidError reports a catalogue that was refused. Detail has one line per error.
type InvalidError struct{ Detail string }

func (e *InvalidError) Error() string { return e.Detail }

// WaitInForce calls b.InForce every interval until rev is in force or ctx ends. An
// error of a call does not end the wait, since an instance that cannot answer now
// may answer later. WaitInForce returns the last progress that b reported. If ctx
// ends first, the error is that of the last call, or nil if an earlier call
// reported the number of members.
func WaitInForce(ctx context.Context, b Backend, rev fleet.Revision, interval time.Duration) (Progress, error) {
	last := Progress{Revision: rev}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		p, err := b.InForce(ctx, rev)
		if err == nil {
			last = p
		}
		if err == nil && p.InForce {
			return p, nil
		}
		select {
		case <-ctx.Done():
			if err != nil && ctx.Err() != nil && last.Members > 0 {
				err = nil // ctx ended during the last call, and an earlier call succeeded
			}
			return last, err
		case <-tick.C:
		}
	}
}
