// Package limit decides which requests the rate limits admit.
//
// Every limit has one home, which keeps its token bucket, and many holders, which
// draw token leases from the home and spend them on requests.
//
// The invariant is that over any window all holders together admit at most
// burst + rate × window. It follows from three rules:
//
//   - At the home, available plus outstanding tokens never exceed the burst. A
//     token stays outstanding until the holder closes its lease or the TTL has
//     passed. Only a close of a live lease puts unused tokens back. Leases have
//     ids because a return that arrives late would otherwise be credited against
//     a newer lease whose tokens were spent.
//   - A holder counts the TTL from before it sent the call, the home from after it
//     received it, so a holder stops using a token before the home forgets it.
//   - The tokens that a former home granted are unknown to the next one. A home
//     therefore never has more than maxOutstanding tokens outstanding, and the
//     next one keeps that many places occupied until the TTL has passed.
//
// A changed limit keeps the level of its bucket. A lower burst is exact once the
// leases granted under the higher one have ended, at most one TTL later.
//
// The package has no locks; its user serializes the calls.
package limit

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// LeaseID identifies a token lease of a home. 0 is no lease.
type LeaseID uint64

// Call asks the home of a limit for tokens and closes leases.
type Call struct {
	ID      fleet.LimitID
	Waiting fleet.Tokens // for requests that wait
	Spare   fleet.Tokens // for requests expected within 50 ms; granted while the bucket is three quarters full
	Closed  []Closed
}

// Closed ends a lease. Its tokens are spent except for the unused ones.
type Closed struct {
	Lease  LeaseID
	Unused fleet.Tokens
}

// Lease is the answer to a Call.
type Lease struct {
	ID      LeaseID // 0 if nothing is granted
	Granted fleet.Tokens
	TTL     time.Duration // from the time at which the holder sent the call; 0: this instance is not the home
	// RetryAfter is when a token will be available if fewer than Waiting were
	// granted. It is 0 if the tokens are not spent but outstanding.
	RetryAfter time.Duration
}

// maxOutstanding returns how many tokens of a bucket may be outstanding. Small
// bursts must be available to single requests of many holders; for large ones half
// the burst lets the next home refill at once. Both the result and burst − result
// must not fall with the burst, or a home that starts with another limit than its
// predecessor had could exceed both bursts.
func maxOutstanding(burst fleet.Tokens) fleet.Tokens {
	const small = 32
	return max(min(burst, small), (burst+1)/2)
}
