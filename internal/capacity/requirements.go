package capacity

// The scale of section 1 of docs/design.md.
const (
	nodes          = 5500
	regions        = 4
	zones          = 12
	keys           = 4.5e9
	requests       = 12e6 // per second
	hotKeys        = 370
	changesPerDay  = 16_000
	restartsPerDay = 1500
	failuresPerDay = 20

	cpuBound    = 0.03e9 // ns of processor time per second and node
	memoryBound = 256e6  // B per node
	bytesBound  = 10e3   // B/s per node, sent and received together
	valueBound  = 1 << 20
	readsBound  = 2000 // per second
	writesBound = 400  // per second; "several hundred"
	day         = 86_400.0
)

// What section 1 leaves open.
const (
	unitsPerUpstream = 23 // 256 shards of each of three services over 33 upstreams
	upstreams        = nodes * upstreamsPerNode
	units            = upstreams*unitsPerUpstream + hotKeys
	accounts         = 100_000
	// writesPerRestart are: the leaving member, the joining one, and two for
	// dispatchers and finished handovers.
	writesPerRestart = 4
	// hotWithin is the reading of "within minutes", in seconds.
	hotWithin = 300.0
	// planBound is what 2 s leave after the detection of a loss (0.6 s), the
	// lease (0.9 s), and the write and its distribution (0.3 s).
	planBound = 0.2e9
	// segmentBytes are the IP and TCP headers of a call: a segment each for the
	// call, the answer and an acknowledgement.
	segmentBytes = 3 * 52
	scrapeEvery  = 15.0 // seconds
	base64       = 4.0 / 3

	changeRate     = changesPerDay / day
	assignmentRate = (restartsPerDay + failuresPerDay) * writesPerRestart / day
	requestsNode   = requests / nodes
)

// The proposed cells.
const (
	voters = 5
	// compactCall is a UDP datagram each way: 28 B of headers and 48 B with the
	// instance, the phase and the revisions. This is an estimate without a run.
	compactCall  = 2 * (28 + 48)
	voterPoll    = 0.3  // seconds; three polls within the authority TTL
	batchItem    = 40.0 // B per limit in a batched token call; an estimate without a run
	holderPeriod = 0.15 // seconds between the token calls of a cell
	cellReads    = 1.0  // per second: one waiting watch, renewed every second
)
