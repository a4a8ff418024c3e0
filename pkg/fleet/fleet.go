// Package fleet names the things that the router's processes talk about: ids,
// units, keys and refusals. It decides nothing.
//
// Two kinds of key must not be confused. A CallerKey is a secret that a caller
// shows; it names a client account. A RoutingKey is what an upstream owns; a
// request is routed by it.
package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Ids. They are chosen by operators or the platform and are compared as bytes.
type (
	// InstanceID identifies a router process; it comes from its settings.
	InstanceID string
	// ZoneID identifies an availability zone.
	ZoneID string
	// UpstreamID identifies a back end; it comes from the platform's instance list.
	UpstreamID string
	// ServiceID identifies a group of upstreams that divide routing keys.
	ServiceID string
	// EntryID identifies a catalogue entry.
	EntryID string
	// AccountID identifies a client account.
	AccountID string
	// BootID identifies one run of a process; it changes at each start.
	BootID string
	// RequestID identifies one request of a caller on its way through the fleet.
	RequestID string
	// LimitID identifies a token bucket; see AccountLimit and EntryLimit.
	LimitID string
)

// Revision is the store's number of a write. Later writes have higher numbers.
type Revision uint64

// Fence is a fencing token. Later grants have higher fences; 0 is no fence.
type Fence uint64

// String returns the decimal form.
func (f Fence) String() string { return strconv.FormatUint(uint64(f), 10) }

// Tokens counts requests that a limit admits.
type Tokens int64

// PerSecond is a rate in requests per second.
type PerSecond float64

// Slots counts requests that an upstream serves at the same time.
type Slots int

// Limit is a token bucket's size and refill rate. The zero Limit means no limit.
type Limit struct {
	Rate  PerSecond
	Burst Tokens
}

// Unlimited reports whether the limit admits everything.
func (l Limit) Unlimited() bool { return l == Limit{} }

// AccountLimit returns the id of an account's token bucket.
func AccountLimit(id AccountID) LimitID { return LimitID("account:" + id) }

// EntryLimit returns the id of a catalogue entry's token bucket.
func EntryLimit(id EntryID) LimitID { return LimitID("entry:" + id) }

// RoutingKey is what an upstream owns and a request is routed by.
type RoutingKey string

// ShardID numbers the shards of a service from 0.
type ShardID uint32

// Shard returns the shard of the key in a service with n shards.
func (k RoutingKey) Shard(n int) ShardID {
	return ShardID(xxhash.Sum64String(string(k)) % uint64(n))
}

// Unit is what ownership is assigned by: a shard of a service, or a pinned key,
// which has an owner of its own apart from its shard.
type Unit struct {
	Service ServiceID
	Shard   ShardID    // if Pin is empty
	Pin     RoutingKey // a pinned routing key, or empty
}

// String returns "service/shard" or "service/pin:key".
func (u Unit) String() string {
	if u.Pin != "" {
		return string(u.Service) + "/pin:" + string(u.Pin)
	}
	return string(u.Service) + "/" + strconv.FormatUint(uint64(u.Shard), 10)
}

// Grant is the ownership of a unit under a fence.
type Grant struct {
	Unit  Unit
	Fence Fence
}

// CallerKey is a secret credential. Its String hides it, so that logs cannot
// show it.
type CallerKey string

// String returns a placeholder.
func (CallerKey) String() string { return "[caller key]" }

// GoString returns a placeholder.
func (CallerKey) GoString() string { return "[caller key]" }

// Hash returns the form that is stored and compared.
func (k CallerKey) Hash() CallerKeyHash { return sha256.Sum256([]byte(k)) }

// CallerKeyHash is the SHA-256 of a CallerKey.
type CallerKeyHash [sha256.Size]byte

// String returns 64 hexadecimal digits.
func (h CallerKeyHash) String() string { return hex.EncodeToString(h[:]) }

// Equal compares in constant time.
func (h CallerKeyHash) Equal(o CallerKeyHash) bool {
	return subtle.ConstantTimeCompare(h[:], o[:]) == 1
}

// ParseCallerKeyHash parses 64 hexadecimal digits.
func ParseCallerKeyHash(s string) (CallerKeyHash, error) {
	var h CallerKeyHash
	if len(s) != hex.EncodedLen(len(h)) {
		return CallerKeyHash{}, errors.Errorf("caller key hash: want %d hexadecimal digits, not %d characters", hex.EncodedLen(len(h)), len(s))
	}
	if _, err := hex.Decode(h[:], []byte(s)); err != nil {
		return CallerKeyHash{}, errors.Errorf("caller key hash: want %d hexadecimal digits", hex.EncodedLen(len(h)))
	}
	return h, nil
}
