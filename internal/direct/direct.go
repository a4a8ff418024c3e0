// Package direct implements a router instance that forwards each request directly to an
// upstream.
//
// Each instance takes the operators' configuration and the list of upstreams from the
// platform's store, and makes its routing, load-balancing and quota decisions locally.
// One instance is the leader: it holds a lease in the store, and it alone assigns the
// keys of sharded services to upstreams (package keyspace). The other instances report
// their observations to the leader. Its replies carry the holders of keys, the
// upstreams, the configuration and the total demand of each account. The requests of an
// account with a small limit are counted by a single instance, the account's home.
// Losing an instance, including the leader, loses no durable state: that is kept in the
// store.
//
// The store and the protocols of callers and upstreams are accessed through the
// interfaces in this file.
package direct

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/quota"
	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Settings are the start-up settings of an instance.
type Settings struct {
	Instance      fleet.InstanceID
	Zone          fleet.ZoneID
	FirstStart    bool   // the whole fleet starts for the first time; nothing is stored yet
	CallerListen  string // listen addresses, as IP:port
	HealthListen  string
	PeerListen    string
	MetricsListen string        // empty: metrics are not served
	Store         string        // address of the store
	ShutdownGrace time.Duration // time from SIGTERM to SIGKILL
	MaxMemory     int64         // memory limit in bytes; 0: unknown
	// MaxDescriptors is the number of descriptors that the process may have open; 0: unknown.
	MaxDescriptors int
	CPUCores       float64 // CPU cores that the instance may use
	LinkRate       float64 // bytes per second that its link carries in each direction; 0: unknown

	// AdmitByPriority makes requests of services that are short of capacity be admitted by
	// priority.
	AdmitByPriority bool

	Retry       RetryLimit
	Quota       QuotaTolerance
	Rollout     rollout.Bounds
	LeavingUse  time.Duration // time within which requests to an upstream that starts to leave must stop
	MaxGrantTTL time.Duration // longest allowed duration of a grant
	MinLeaseTTL time.Duration // shortest lease that the store accepts
}

// RetryLimit bounds the repeated requests that the upstreams of a service receive from
// all instances together within Window: Ratio repeats for each request of a caller, plus
// Extra.
type RetryLimit struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// QuotaTolerance bounds the requests that may be admitted beyond an account's limit
// within Window: Overage is a share of the limit, Slack a number of requests.
type QuotaTolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// accountTolerance returns q as the tolerance of the limits of client accounts.
func accountTolerance(q QuotaTolerance) quota.Config {
	return quota.Config{Window: q.Window, Overage: q.Overage, Slack: q.Slack}
}

// OperatorState is the state that operators set: the configuration and the zones whose
// upstreams are to receive no requests.
type OperatorState struct {
	Table     *routes.Table // nil before the first configuration
	Source    []byte        // the configuration as encoded in the store
	Evacuated map[fleet.ZoneID]bool
	Revision  fleet.Revision // revision of the whole store; changes of other keys increase it too
	// Orders are the roll-outs that operators have ordered.
	Orders        map[fleet.ServiceID]rollout.Order
	InvalidOrders []error // why orders that were read last cannot be decoded
	Invalid       error   // why the newest stored configuration cannot be decoded; Table is then an older one
}

// Tag identifies the operator state. Instances compare tags to detect a difference.
func (o *OperatorState) Tag() string {
	if o == nil || o.Table == nil {
		return ""
	}
	zones := slices.Sorted(maps.Keys(o.Evacuated))
	for i, zone := range zones {
		zones[i] = fleet.ZoneID(url.QueryEscape(string(zone))) // a space would look like the end of the name
	}
	return fmt.Sprintf("%d %s", o.Table.Version, zones) + ordersTag(o.Orders)
}

// sameConfiguration reports whether two tags name the same configuration version.
func sameConfiguration(a, b string) bool {
	versionA, _, _ := strings.Cut(a, " ")
	versionB, _, _ := strings.Cut(b, " ")
	return versionA == versionB
}

// Item is a value in the store and the revision of its last change.
type Item struct {
	Value    []byte
	Revision fleet.Revision
}

// Lease identifies a lease in the store. Keys bound to a lease are deleted when it ends.
type Lease struct {
	Era fleet.Era
	ID  uint64 // in its era; 0: none
}

// Write is a conditional write of one key.
type Write struct {
	Key    string
	Value  []byte
	Expect fleet.Revision // required revision of the key; 0: the key must not exist
	Lease  Lease
}

// Condition requires a key to have a certain revision.
type Condition struct {
	Key    string
	Expect fleet.Revision
}

// Errors returned by a Store.
var (
	ErrNotFound   = errors.New("key not found in the store")
	ErrConflict   = errors.New("a condition of the write is not met")
	ErrLeaseEnded = errors.New("the lease has expired or was ended")
	ErrRefused    = errors.New("the store refused the call without executing it")
	// ErrRestored means that the call refers to a revision or a lease of an era that has
	// ended: the store has been restored from a copy since. The call may have been executed.
	ErrRestored = errors.New("the store has been restored from a copy")
)

// UpstreamList is the list of registered upstreams.
type UpstreamList struct {
	Era       fleet.Era
	Upstreams []balance.Registration
	Invalid   []error // one for each registration that cannot be decoded, which Upstreams lacks
}

// Store is the platform's key-value service. Its revisions grow even if it is restored
// from a copy and loses its last writes. A call that refers to a revision or a lease of
// an earlier era returns ErrRestored.
type Store interface {
	// Upstreams lists all registered upstreams.
	Upstreams(ctx context.Context) (UpstreamList, error)
	// ReadOperatorState reads the complete operator state.
	ReadOperatorState(ctx context.Context) (OperatorState, error)
	// WatchOperatorState waits up to wait for changes after cur.Revision and returns
	// cur with these changes.
	WatchOperatorState(ctx context.Context, cur OperatorState, wait time.Duration) (OperatorState, error)
	// Get returns the value of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Item, error)
	// Put executes w if its condition and all others are met, else it returns ErrConflict.
	Put(ctx context.Context, w Write, also ...Condition) (fleet.Revision, error)
	NewLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease renews a lease. It returns ErrLeaseEnded if the lease has ended.
	RenewLease(ctx context.Context, l Lease) error
	EndLease(ctx context.Context, l Lease) error
}

// HolderClient sends grants and releases of keys to upstreams.
type HolderClient interface {
	// Call carries out c. It calls check directly before it writes c, and writes nothing if
	// that returns an error, which the result wraps.
	Call(ctx context.Context, addr string, c keyspace.Call, check func() error) (HolderResponse, error)
}

// HolderResponse is the result of a call to an upstream that grants or releases keys.
type HolderResponse struct {
	Result   keyspace.Result
	Handover string // set only by a release that succeeded
	Leaving  bool   // the upstream says that it leaves
	Pause    balance.Pause
	Limit    balance.NamedLimit
}

// RequestMetadata holds the metadata of a caller's request, besides its method, path
// and body.
type RequestMetadata struct {
	ID            fleet.RequestID
	Timeout       time.Duration // time that the caller is willing to wait; 0: not given
	CallerKey     fleet.CallerKey
	HasCallerKey  bool
	RoutingKey    keyspace.Key
	HasRoutingKey bool
}

// ForwardMetadata holds the metadata that an instance adds to a request to an upstream.
type ForwardMetadata struct {
	Upstream fleet.UpstreamID // the addressed upstream
	Timeout  time.Duration    // time left until the deadline
	Account  fleet.AccountID  // empty: none
}

// ResponseMetadata holds the metadata of an upstream's response, besides its status
// and body.
type ResponseMetadata struct {
	ID        fleet.RequestID
	Receipt   bool          // the upstream confirms that the response is its own, as it does with each success
	NotRun    bool          // the upstream states that it did not run the request
	NotHolder bool          // the upstream is not the addressed one, or does not hold the key
	Leaving   bool          // the upstream says that it leaves
	Pause     balance.Pause // in which the upstream wants no requests from this instance
	Limit     balance.NamedLimit
	Load      *balance.Load // nil if the upstream did not report any
}

// Protocol encodes and decodes the metadata of requests and answers in HTTP headers.
type Protocol interface {
	// ParseRequest decodes the headers of a caller's request.
	ParseRequest(h http.Header) (RequestMetadata, error)
	// CallerKeyHeader is the name of the header with the key of a caller.
	CallerKeyHeader() string
	// UpstreamHeader returns the headers for an upstream: the caller's headers without
	// the hop-by-hop ones and the caller key, and with those that encode f.
	UpstreamHeader(h http.Header, f ForwardMetadata) http.Header
	// ParseResponse decodes the status and headers of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseMetadata
	// CallerHeader returns the headers for the caller, given those of the upstream's
	// response.
	CallerHeader(h http.Header) http.Header
	// RefusalHeader returns the headers of a response that this instance generates itself.
	RefusalHeader(id fleet.RequestID, retryAfter time.Duration) http.Header
	// HealthPath is the path of the platform's readiness check.
	HealthPath() string
}

// Platform gives access to the services outside the fleet.
type Platform struct {
	Store             Store
	Holders           HolderClient
	Protocol          Protocol
	UpstreamTransport *http1.Transport // connections to upstreams
	// DecodeConfiguration decodes OperatorState.Source, which the leader sends to the
	// other instances.
	DecodeConfiguration func(source []byte) (*routes.Table, error)
	// RolloutStatus returns the key and the value with which the store states the status of a
	// roll-out.
	RolloutStatus func(rollout.Status) (key string, value []byte)
	// ReadSettings reads the current settings.
	ReadSettings func() (Settings, error)
	// SettingsSignals receives signals on which the settings are read at once; nil: there are
	// none.
	SettingsSignals <-chan os.Signal
}
