package capacity

// Cell is the cost of the proposed design with cells of one size. A cell is a
// group of instances of one region, spread over its three zones, with an
// assignment record, a member list and a planner of its own.
type Cell struct {
	Size, Cells, Units float64
	Record             float64 // B in the store
	Plan               float64 // ns for plan, encode and decode
	PollBytes, PollCPU float64 // today's polls of all members
	VoterBytes         float64 // compact polls of five voters; a voter's share
	MemberBytes        float64 // the same, of another member
	VoterCPU           float64 // ns/s of a voter, at the cost of a token call
	Reads              float64 // at the store, per second
	ZoneWrites         float64 // after the loss of a zone
	AssignmentBytes    float64 // B/s of records to a member
	HomeCPU            float64 // ns/s for the choice of homes at today's pace
	TokenBytes         float64 // B/s of a home with batched calls
}

// cell evaluates the fits at one size.
func (m model) cell(size float64) Cell {
	cells := nodes / size
	c := Cell{Size: size, Cells: cells, Units: units / cells}
	c.Record = m.recordBytes(size, c.Units)
	c.Plan = m.at("plan-lost", c.Units) + m.at("assignment-encode", c.Units) + m.at("assignment-decode", c.Units)
	c.PollBytes, c.PollCPU = m.pollBytes(size), m.pollCPU(size)
	voter := min(voters, size)
	// A voter is asked by all others and asks the other voters.
	c.VoterBytes = (size - 1 + voter - 1) / voterPoll * compactCall
	c.VoterCPU = (size - 1 + voter - 1) / voterPoll * m.slope("token-cpu")
	c.MemberBytes = voter / voterPoll * compactCall
	c.Reads = cells * cellReads
	// One region loses a third of each of its cells: a plan and the finished
	// handovers.
	c.ZoneWrites = 2 * cells / regions
	c.AssignmentBytes = assignmentRate / cells * c.Record * base64
	c.HomeCPU = homeChecks(1/cells) * accounts / cells * m.at("home-choice", size)
	// Every cell of the region asks each home once per period for all of the home's
	// limits at once. The homes of a region's accounts are its instances.
	perHome := float64(accounts) / nodes
	c.TokenBytes = cells / regions / holderPeriod * (segmentBytes + 2*perHome*batchItem)
	return c
}

// largestCell returns the most members whose cost stays within the bound.
func largestCell(cost func(n float64) float64, bound float64) int {
	n := 1
	for n < nodes && cost(float64(n+1)) <= bound {
		n++
	}
	return n
}

// Split is the effect of a partition between regions of equal size.
type Split struct {
	Groups  string
	Serving string // who keeps authority today
	Sizes   []int  // regions in each group that keeps authority
}

// Share is the share of requests that are served if callers and shards are spread
// evenly over the regions, as today's planner spreads them: the owner must be in
// the caller's group.
func (s Split) Share() float64 {
	share := 0.0
	for _, n := range s.Sizes {
		share += float64(n*n) / (regions * regions)
	}
	return share
}

// splits follow from section 4 of the design: an instance keeps its authority by a
// majority of the members or by the store.
func splits() []Split {
	return []Split{
		{"none", "all", []int{4}},
		{"3 + 1, the store with the 3", "the 3 by majority", []int{3}},
		{"3 + 1, the store with the 1", "the 3 by majority, without changes; the 1 by store reads", []int{3, 1}},
		{"2 + 2, the store with one pair", "the pair with the store, by store reads", []int{2}},
		{"1 + 1 + 1 + 1", "the region with the store, by store reads", []int{1}},
		{"1 + 1 + 1 + 1, the store down", "none: no majority", nil},
	}
}
