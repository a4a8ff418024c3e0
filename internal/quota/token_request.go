package quota

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Run identifies a run of an instance: a home that has restarted knows nothing of what the
// run before admitted.
type Run struct {
	Instance fleet.InstanceID
	Boot     fleet.BootID
}

// Use is a number of requests that an instance has admitted within useInterval.
type Use struct {
	Seq      uint64        // grows with each use of the instance
	Age      time.Duration // of the last of the requests
	Requests int
	Former   bool // admitted by the home's run FormerBoot
}

// TokenRequest requests tokens of a key from its home, for several requests of one instance.
type TokenRequest struct {
	Requester Run
	Wanted    int             // requests that wait for a token
	Demand    fleet.PerSecond // for the key at the requester
	// Uses contains, by sequence number, what the requester has admitted and the home may not
	// know of: by another home, by another run of this one, or by its own part of the limit.
	Uses []Use
	// FormerBoot is the last run of the home that the requester knows, which may have restarted.
	FormerBoot fleet.BootID
	// Complete states that Uses lacks nothing, for a home that has restarted.
	Complete bool
	// ExhaustedBefore is the time since another run had no token for the requester, 0 if
	// there is none that the requester remembers.
	ExhaustedBefore time.Duration
	newest          uint64 // sequence number of the last use, sent or not
}

// Grant is the answer to a TokenRequest.
type Grant struct {
	Boot fleet.BootID // of the home
	// NeedComplete states that the home has restarted, and decides on a complete token request only.
	NeedComplete bool
	Admitted     int // of the requests that wait
	// Wait is the time until the next token, if not all requests are admitted.
	Wait time.Duration
	// Lease states that the requester gets Rate for the time of Lease, counted from its
	// token request, and sends no other before its end.
	Lease time.Duration
	Rate  fleet.PerSecond
}

// useInterval is the resolution at which uses are remembered.
const useInterval = 250 * time.Millisecond

// usage counts requests by the time at which they were admitted.
type usage struct{ slots []usageSlot }

type usageSlot struct {
	index    int64 // time divided by useInterval
	requests float64
}

func usageIndex(at time.Time) int64 { return at.UnixNano() / int64(useInterval) }

// add counts n requests that were admitted at the given time, and forgets those before
// oldest.
func (u *usage) add(at, oldest time.Time, n float64) {
	first := 0
	for first < len(u.slots) && u.slots[first].index < usageIndex(oldest) {
		first++
	}
	u.slots = append(u.slots[:0], u.slots[first:]...)
	index, pos := usageIndex(at), len(u.slots)
	if n <= 0 || index < usageIndex(oldest) {
		return
	}
	for pos > 0 && u.slots[pos-1].index > index {
		pos--
	}
	if pos > 0 && u.slots[pos-1].index == index {
		u.slots[pos-1].requests += n
		return
	}
	u.slots = append(u.slots, usageSlot{})
	copy(u.slots[pos+1:], u.slots[pos:])
	u.slots[pos] = usageSlot{index: index, requests: n}
}

// since returns the number of requests admitted after the given time, without those of the
// interval that it lies in.
func (u *usage) since(at time.Time) (sum float64) {
	for _, s := range u.slots {
		if s.index > usageIndex(at) {
			sum += s.requests
		}
	}
	return sum
}
