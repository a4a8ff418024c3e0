package capacity

// Scale and bounds that section 1 of docs/design.md requires.
const (
	nodes            = 5500
	regions          = 4
	zones            = 12
	keysInUse        = 4.5e9
	totalRequestRate = 12e6 // requests per second
	hotKeyCount      = 370
	changesPerDay    = 16_000
	restartsPerDay   = 1500
	failuresPerDay   = 20

	cpuBound        = 0.03e9  // ns of processor time per second and node
	memoryBound     = 256e6   // B per node
	bytesBound      = 10e3    // B/s per node, sent and received together
	storeValueBound = 1 << 20 // B per value in the store
	readsBound      = 2000    // reads of the store per second
	writesBound     = 400     // writes to the store per second; the design says "several hundred"
	secondsPerDay   = 86_400.0
)

// Assumptions where section 1 states no number.
const (
	unitsPerUpstream = 23 // 256 shards of each of three services, spread over 33 upstreams
	upstreams        = nodes * upstreamsPerNode
	units            = upstreams*unitsPerUpstream + hotKeyCount
	accounts         = 100_000
	// writesPerRestart counts one write for the leaving member, one for the joining
	// member, and two for dispatchers and finished handovers.
	writesPerRestart = 4
	// hotKeyPinBound is the time within which hot keys must be pinned, in seconds. The
	// design says "within minutes".
	hotKeyPinBound = 300.0
	// planBound is the time for a plan in ns: the 2 s within which a loss must be
	// handled, less its detection (0.6 s), the lease (0.9 s), and the write and its
	// distribution (0.3 s).
	planBound = 0.2e9
	// callHeaderBytes is the size of the IP and TCP headers of a call: one segment each
	// for the call, its answer and an acknowledgement.
	callHeaderBytes = 3 * 52
	scrapeInterval  = 15.0 // seconds
	base64Factor    = 4.0 / 3

	catalogueWriteRate  = changesPerDay / secondsPerDay
	assignmentWriteRate = (restartsPerDay + failuresPerDay) * writesPerRestart / secondsPerDay
	requestsPerNode     = totalRequestRate / nodes
)

// Parameters of the proposed design with cells.
const (
	voters = 5
	// compactPollBytes is the size of a poll and its answer, one UDP datagram each, with
	// 28 B of headers and 48 B for the instance, the phase and the revisions. It is an
	// estimate, not a measurement.
	compactPollBytes  = 2 * (28 + 48)
	voterPollInterval = 0.3  // seconds; allows three polls within the authority TTL
	batchedLimitBytes = 40.0 // B per limit in a batched token call; an estimate, not a measurement
	tokenCallInterval = 0.15 // seconds between the token calls of a cell
	cellReadRate      = 1.0  // reads of the store per second and cell: one long-polling watch, renewed every second
)
