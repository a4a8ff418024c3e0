// Package admission decides which requests are sent when upstreams have less capacity than
// is requested: the more urgent ones, by their priorities.
//
// Each instance reports the requests that it receives, by priority, with what became of its
// attempts (Gate.Report). The leader adds these up, detects a shortage by the attempts that
// upstreams have refused or queued, and computes the share of the requests of each priority
// that fits into the capacity (Controller). All instances admit these shares (Gate.Arrive).
// An instance that has no reply from the leader for MaxAge uses a Controller of its own, which
// knows its own observations only.
//
// Invariants:
//   - without a shortage, or where all requests have the same priority, all are admitted
//   - a less urgent priority never has a larger share than a more urgent one, and each has at
//     least the smaller of maxReserve and reserveShare times the share of all together
//   - a limit is in requests/s and never below a part of the estimated capacity, so that it
//     ends with the demand, and one that is based on a wrong observation does little harm
package admission

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// MaxAge is the age up to which an instance uses the shares of the leader.
const MaxAge = 2 * time.Second

// Target is what has the capacity: a service, or one holder of a sharded service.
type Target struct {
	Service fleet.ServiceID
	Holder  fleet.UpstreamID // empty: the whole service
}

// ByPriority has a value for each priority, the most urgent first.
type ByPriority [routes.MaxPriority + 1]float64

// Sum returns the sum of the values.
func (b ByPriority) Sum() float64 {
	sum := 0.0
	for _, v := range b {
		sum += v
	}
	return sum
}

// Of returns the value of a priority.
func (b ByPriority) Of(p routes.Priority) float64 { return b[index(p)] }

// Times returns the values multiplied by factor.
func (b ByPriority) Times(factor float64) ByPriority {
	for p := range b {
		b[p] *= factor
	}
	return b
}

// Priorities returns the number of priorities that have more than minPart of the sum.
func (b ByPriority) Priorities() int {
	n, sum := 0, b.Sum()
	for _, v := range b {
		if v > minPart*sum {
			n++
		}
	}
	return n
}

const (
	// minPart is the part of the requests below which a priority does not count. A few
	// requests of another priority would otherwise make a service be treated differently.
	minPart = 0.01
	// reserveShare is the share of a priority, relative to that of all requests, that the more
	// urgent ones cannot take. No kind of request may be served less than a quarter as often
	// as all; the rest covers requests that fail for other causes.
	reserveShare = 0.4
	// maxReserve bounds the reserved share. With this share no kind can fall below a quarter
	// of the others, whatever these get.
	maxReserve = 0.25
)

// index returns the index of p in ByPriority.
func index(p routes.Priority) int { return int(min(max(p, 0), routes.MaxPriority)) }

// Admitted returns the share of the requests of each priority that may be sent if the
// upstreams serve capacity requests/s and rates are requested. A priority that is not
// requested gets the share that its first request would get.
func Admitted(capacity float64, rates ByPriority) ByPriority {
	var shares ByPriority
	total := rates.Sum()
	if total <= capacity {
		for p := range shares {
			shares[p] = 1
		}
		return shares
	}
	reserved := min(maxReserve, reserveShare*capacity/total)
	left := capacity - reserved*total
	for p, rate := range rates {
		shares[p] = reserved
		switch wanted := (1 - reserved) * rate; {
		case left <= 0:
		case wanted <= left:
			shares[p] = 1
			left -= wanted
		default:
			shares[p] += left / rate
			left = 0
		}
	}
	return shares
}
