// Package limit implements distributed rate limits with token leases.
//
// Each limit has one home, the instance that keeps its token bucket. Every instance
// is a holder: it obtains leases of tokens from the home and spends a token on each
// request.
//
// The invariant is that in any time window all holders together admit at most
// burst + rate × window requests. It follows from three rules:
//
//   - At the home, available plus outstanding tokens never exceed the burst. A
//     token is outstanding until its holder closes the lease or the TTL has passed.
//     Only the close of an unexpired lease returns unused tokens to the bucket.
//     Leases have ids, because otherwise a close that arrives late would be credited
//     to a newer lease whose tokens were spent.
//   - A holder measures the TTL from before it sends the call, and the home from
//     after it receives it. A holder therefore stops using a token before the home
//     stops counting it as outstanding.
//   - A new home does not know the tokens that the previous home granted. A home
//     therefore never has more than maxOutstanding tokens outstanding, and a new
//     home counts that many tokens as outstanding until the TTL has passed.
//
// A limit reaches a home with SetLimit and a clock reading from after it is known, never
// with a call. A call may have an older reading, with which the bucket would be refilled
// at a raised rate for time before the change. The previous home may have known a raised
// burst before the new one, so until the TTL has passed, the tokens that a new home counts
// as outstanding follow the burst.
//
// The bucket keeps its level when the limit changes. A lowered burst is exact once
// the leases granted under the higher one have expired, at most one TTL later.
//
// The package has no locks; its user must serialize the calls.
package limit

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// LeaseID identifies a token lease of a home. 0 means no lease.
type LeaseID uint64

// Call requests tokens from the home of a limit and closes leases.
type Call struct {
	ID      fleet.LimitID
	Waiting fleet.Tokens // for waiting requests
	Spare   fleet.Tokens // for requests expected within 50 ms; granted from the upper quarter of the bucket
	Closed  []Closed
}

// Closed closes a lease. All its tokens but the unused ones were spent.
type Closed struct {
	Lease  LeaseID
	Unused fleet.Tokens
}

// Lease is the answer to a Call.
type Lease struct {
	ID      LeaseID // 0 if no token is granted
	Granted fleet.Tokens
	TTL     time.Duration // from when the holder sent the call; 0: the called instance is not the home
	// RetryAfter is the time until a token becomes available, if fewer than Waiting
	// were granted. It is 0 if tokens become available by closes of leases instead of
	// by refill.
	RetryAfter time.Duration
}

// maxOutstanding returns the maximum number of outstanding tokens of a bucket. A burst
// of up to 32 tokens may be outstanding as a whole, so that many holders can get a
// token for a single request each. For larger bursts it is half the burst, or 32 if
// that is more, so that a new home can refill the rest immediately. Neither the result
// nor burst − result may decrease as the burst increases: otherwise a home that starts
// with another limit than the previous home had could exceed both bursts.
func maxOutstanding(burst fleet.Tokens) fleet.Tokens {
	const small = 32
	return max(min(burst, small), (burst+1)/2)
}
