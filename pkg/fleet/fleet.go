// Package fleet defines the types that the router's processes share: ids, units of
// ownership, keys, and refusals of requests. It contains no routing logic.
//
// There are two kinds of key. A CallerKey is a secret that authenticates a caller
// as a client account. A RoutingKey is owned by an upstream and determines where a
// request is routed to.
package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Ids are compared byte by byte. Most are chosen by operators or by the platform.
type (
	// InstanceID identifies an instance of the router; it is set in its settings.
	InstanceID string
	// ZoneID identifies an availability zone.
	ZoneID string
	// UpstreamID identifies an upstream; it comes from the platform's instance list.
	UpstreamID string
	// ServiceID identifies a group of upstreams among which routing keys are divided.
	ServiceID string
	// VersionID identifies a version of the software of upstreams; it is empty if an
	// upstream states none.
	VersionID string
	// EntryID identifies a catalogue entry.
	EntryID string
	// AccountID identifies a client account.
	AccountID string
	// BootID identifies one run of a process; each start has a new one.
	BootID string
	// RequestID identifies one request of a caller in all processes that handle it.
	RequestID string
	// LimitID identifies a token bucket; see AccountLimit and EntryLimit.
	LimitID string
)

// Revision is the number of a write to the store. Later writes have higher numbers, also
// after the store has been restored from a copy: see NewRevision.
type Revision uint64

// Era counts how often the store has been restored from a copy. A restored store lacks
// the last writes before its restoration, and gives out their numbers again.
type Era uint64

const (
	// numbersPerEra is the number of revisions and of fencing tokens in an era. The
	// decimal digits of a revision show its era and its number.
	numbersPerEra = 1_000_000_000_000
	// MaxEra keeps revisions and fences exact in JSON decoders that use floating point.
	MaxEra Era = 9000
)

// NewRevision returns the revision of the write with number n in an era. n must be less
// than 10^12, and era at most MaxEra.
func NewRevision(era Era, n uint64) Revision { return Revision(uint64(era)*numbersPerEra + n) }

// Era returns the era of the write.
func (r Revision) Era() Era { return Era(r / numbersPerEra) }

// Number returns the number that the store gave the write in its era.
func (r Revision) Number() uint64 { return uint64(r % numbersPerEra) }

// FirstFence returns the first fencing token of an era. It is higher than all tokens of
// earlier eras, also than those of which the restored store has no record.
func FirstFence(era Era) Fence { return Fence(uint64(era)*numbersPerEra + 1) }

// Fence is a fencing token. Later grants have higher fences; 0 means no fence.
type Fence uint64

// String returns f in decimal.
func (f Fence) String() string { return strconv.FormatUint(uint64(f), 10) }

// Tokens is a number of rate limit tokens. Each token admits one request.
type Tokens int64

// PerSecond is a rate in requests per second.
type PerSecond float64

// Slots is a number of requests that an upstream handles concurrently.
type Slots int

// Limit is the configuration of a token bucket. The zero Limit means no limit.
type Limit struct {
	Rate  PerSecond // refill rate
	Burst Tokens    // size of the bucket
}

// Unlimited reports whether l is the zero Limit, which admits every request.
func (l Limit) Unlimited() bool { return l == Limit{} }

// AccountLimit returns the id of the token bucket of a client account.
func AccountLimit(id AccountID) LimitID { return LimitID("account:" + id) }

// EntryLimit returns the id of the token bucket of a catalogue entry.
func EntryLimit(id EntryID) LimitID { return LimitID("entry:" + id) }

// RoutingKey is the key by which a request is routed. Each routing key of a service
// is owned by one upstream.
type RoutingKey string

// ShardID is the number of a shard of a service, from 0.
type ShardID uint32

// Shard returns the shard of k in a service with n shards. It panics if n is 0.
func (k RoutingKey) Shard(n int) ShardID {
	return ShardID(xxhash.Sum64String(string(k)) % uint64(n))
}

// Unit is the unit of ownership: a shard of a service, or a pinned routing key,
// whose owner is independent of the owner of its shard.
type Unit struct {
	Service ServiceID
	Shard   ShardID    // only used if Pin is empty
	Pin     RoutingKey // the pinned routing key; empty for a shard
}

// String returns "service/shard" or "service/pin:key".
func (u Unit) String() string {
	if u.Pin != "" {
		return string(u.Service) + "/pin:" + string(u.Pin)
	}
	return string(u.Service) + "/" + strconv.FormatUint(uint64(u.Shard), 10)
}

// Grant is the ownership of a unit with the fencing token that protects it.
type Grant struct {
	Unit  Unit
	Fence Fence
}

// CallerKey is the secret with which a caller authenticates. Formatting it with
// package fmt prints a placeholder, so that logs cannot contain it.
type CallerKey string

// String returns a placeholder.
func (CallerKey) String() string { return "[caller key]" }

// GoString returns a placeholder.
func (CallerKey) GoString() string { return "[caller key]" }

// Hash returns the SHA-256 of k. Only the hash is stored and compared.
func (k CallerKey) Hash() CallerKeyHash { return sha256.Sum256([]byte(k)) }

// CallerKeyHash is the SHA-256 of a CallerKey.
type CallerKeyHash [sha256.Size]byte

// String returns h as 64 lower-case hexadecimal digits.
func (h CallerKeyHash) String() string { return hex.EncodeToString(h[:]) }

// Equal reports whether h and o are equal. It takes constant time.
func (h CallerKeyHash) Equal(o CallerKeyHash) bool {
	return subtle.ConstantTimeCompare(h[:], o[:]) == 1
}

// ParseCallerKeyHash parses a hash of 64 hexadecimal digits. It returns an error
// for any other text. The error does not contain s, which may be a caller key.
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
