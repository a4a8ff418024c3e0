// Package operator serves the HTTP API of operators and has its client.
//
// A change is an edit of the catalogue that is based on a revision. The API never
// merges and never retries: if another edit was stored in the meantime, the
// loser is told the revision that won and who wrote it. A stored change is
// reported apart from a change in force, because between the two an instance may
// still act on the previous revision.
//
// Operators share one bearer token. The name that an operator gives for a change
// is therefore recorded but not proved.
package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Backend is what the API exposes. Client implements it over HTTP.
type Backend interface {
	// Catalogue returns the newest catalogue that the backend can read.
	Catalogue(ctx context.Context) (*catalogue.Catalogue, fleet.Revision, error)
	// Apply stores c if the catalogue's revision is still base, and returns the new
	// revision. Errors: *ConflictError, *UnknownError, *UnavailableError.
	Apply(ctx context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error)
	// InForce reports how far the catalogue revision rev, or a later one, has come.
	InForce(ctx context.Context, rev fleet.Revision) (Progress, error)
	Status(ctx context.Context) (Status, error)
	Explain(ctx context.Context, q Query) (Explanation, error)
}

// Progress says how far a stored change has come.
type Progress struct {
	Revision fleet.Revision
	Accepted time.Time // when the store accepted it
	Learned  int       // members that know it
	Members  int
	InForce  bool
	Since    time.Time // when it came into force
}

// Status is the state of the fleet as one instance sees it.
type Status struct {
	Instance      fleet.InstanceID
	Zone          fleet.ZoneID
	Boot          fleet.BootID
	Now           time.Time // the instance's clock
	Authority     time.Time // until when it may act; past if it may not
	StoreAnswered time.Time // last response of the store; zero if none
	Catalogue     fleet.Revision
	Assignment    fleet.Revision
	Planner       fleet.InstanceID
	Members       []MemberStatus
	Upstreams     []UpstreamStatus
	OutOfService  []catalogue.Outage
}

// MemberStatus is one member of the fleet.
type MemberStatus struct {
	ID      fleet.InstanceID
	Zone    fleet.ZoneID
	Address string
	Heard   time.Time // last poll that it answered; zero if none
}

// UpstreamStatus is one upstream. Its limit and load are known to its dispatcher
// only.
type UpstreamStatus struct {
	ID         fleet.UpstreamID
	Service    fleet.ServiceID
	Zone       fleet.ZoneID
	Dispatcher fleet.InstanceID // empty: none
	State      string           // live, leaving or lost
	Known      bool             // Limit, Slots, InFlight and Queued are known
	Limit      fleet.Slots      // concurrent requests allowed now; below Slots while warming
	Slots      fleet.Slots
	InFlight   fleet.Slots
	Queued     int
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

// AccountQuery asks which requests of a client account were refused lately.
type AccountQuery struct{ ID fleet.AccountID }

func (KeyQuery) query()     {}
func (RequestQuery) query() {}
func (AccountQuery) query() {}

// Explanation answers a Query. Causes and refusals are kept in memory by the
// instances that saw them, so an instance that did not answer may hold more.
type Explanation struct {
	Answered []fleet.InstanceID
	Missing  []fleet.InstanceID // members that did not answer in time
	Owner    *Ownership         // for a KeyQuery, if the key has an owner
	Moves    []Move             // newest first
	Refusals []Refused          // newest first
}

// Ownership says who owns a routing key.
type Ownership struct {
	Unit       fleet.Unit
	Owner      fleet.UpstreamID
	Fence      fleet.Fence
	Since      time.Time // zero: before the instance started
	Dispatcher fleet.InstanceID
	Previous   []fleet.UpstreamID // owners that have not released it yet, oldest first
}

// Move is a change of an owner.
type Move struct {
	At     time.Time
	Unit   fleet.Unit
	From   fleet.UpstreamID // empty: none
	To     fleet.UpstreamID
	Fence  fleet.Fence
	Cause  string
	Detail string
}

// Refused is a refused request. Detail never contains a caller key.
type Refused struct {
	At       time.Time
	Instance fleet.InstanceID
	Request  fleet.RequestID
	Account  fleet.AccountID // empty: not authenticated
	Entry    fleet.EntryID
	Key      fleet.RoutingKey
	Reason   fleet.Reason
	Detail   string
}

// ConflictError reports that another edit was stored first.
type ConflictError struct {
	Base    fleet.Revision
	Current fleet.Revision // the revision that won
	By      string         // who wrote it; empty if not known
	At      time.Time      // when; zero if not known
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

// UnknownError reports an edit that may or may not have been stored.
type UnknownError struct{ Err error }

func (e *UnknownError) Error() string {
	return "the edit may have been stored: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// UnavailableError reports that nothing was done, for example in a store outage.
type UnavailableError struct{ Err error }

func (e *UnavailableError) Error() string { return "nothing was changed: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// InvalidError reports input that was refused, one fault per line.
type InvalidError struct{ Detail string }

func (e *InvalidError) Error() string { return e.Detail }

// WaitInForce asks b every interval until rev is in force or ctx ends. It returns
// the last progress; the error is that of the last call, since an instance that
// cannot answer now may answer later.
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
				err = nil // the deadline cut the last call; an earlier one answered
			}
			return last, err
		case <-tick.C:
		}
	}
}
