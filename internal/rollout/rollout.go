// Package rollout decides how the traffic of a service moves to a new version of its
// upstreams, and whether that version is good.
//
// Controller is the leader's state of one roll-out. It compares the responses of both
// versions over the same routes and time, raises the share of the new version in steps,
// and rolls it back if its responses fail or are slow more often. Gate is the state of an
// instance: which upstreams its requests may use. Evidence carries the counts of an
// instance to the leader. The package reads no clock and does no I/O.
//
// Invariants:
//   - the share of the new version rises only after the record that allows it is stored;
//     it falls at once
//   - before the verdict, the requests sent to the new version stay at a part of the bound
//   - an instance sends nothing to the new version if it has not heard from the leader for
//     MaxSilence, until the roll-out is final
//   - a final roll-out is completed, whoever leads
package rollout

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Order is an operator's order to move the traffic of a service to the upstreams of a
// version.
type Order struct {
	Service  fleet.ServiceID
	Target   fleet.VersionID
	Duration time.Duration  // within which a good version is to be completed
	Revision fleet.Revision // of the write of the order
}

// Same reports whether o and p order the same. A store that was restored from a copy gives
// a repeated write of an order another revision.
func (o Order) Same(p Order) bool {
	return o.Service == p.Service && o.Target == p.Target && o.Duration == p.Duration
}

// Repeats reports whether o is a repeated write of p that starts no new roll-out after p
// has ended.
func (o Order) Repeats(p Order) bool {
	return o.Same(p) && (o.Revision == p.Revision || o.Revision.Era() != p.Revision.Era())
}

// Bounds limit what a bad version may receive.
type Bounds struct {
	Enabled  bool          // the platform has roll-outs
	Share    float64       // of the requests that reach the service from the order to the end of its duration
	Slack    float64       // requests in addition
	Rollback time.Duration // after the bad response number 50, within which the last request is sent
}

// State is the state of a roll-out as operators see it.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled-back"
)

// Status is the state of the roll-out of a service.
type Status struct {
	Service fleet.ServiceID
	State   State
	Target  fleet.VersionID
}

// Directive states which versions the requests of a service may use.
type Directive struct {
	Service fleet.ServiceID
	Order   fleet.Revision // identifies the roll-out
	Target  fleet.VersionID
	Step    uint64  // grows with each change of the directive, also if the leader changes
	Share   float64 // of the first attempts of requests that use the target
	Even    bool    // routes with few requests get a larger share, for the verdict
	Final   bool    // all requests use the target
	Settled bool    // the roll-out is completed; the target is a version like others
}

// MaxSilence is the time without a reply of the leader after which an instance sends
// nothing to the new version.
const MaxSilence = 2 * time.Second

// minTrialUpstreams is the least number of upstreams that a share is sent to. With fewer,
// one slow machine would look like a slow version. In a sharded service one is enough: each
// takes all keys of another upstream, which may be more than the share.
const minTrialUpstreams = 3

func minTrial(sharded bool) int {
	if sharded {
		return 1
	}
	return minTrialUpstreams
}

// subsetSize returns how many of n upstreams a share uses.
func subsetSize(n int, share float64, sharded bool) int {
	if share <= 0 {
		return 0
	}
	return min(n, max(minTrial(sharded), int(share*float64(n))))
}

// Subset returns the upstreams that a share of the requests uses: as many as have the load
// that each has when all upstreams share all requests. The upstreams of a smaller share
// are part of those of a larger one. It changes the order of ids.
func Subset(ids []fleet.UpstreamID, share float64, sharded bool) []fleet.UpstreamID {
	slices.SortFunc(ids, func(a, b fleet.UpstreamID) int {
		ha, hb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return 0
	})
	return ids[:subsetSize(len(ids), share, sharded)]
}
