package capacity

// Cell is the estimated cost of the proposed design with cells of one size. A cell is
// a group of instances of one region, spread over the region's three zones, that has
// its own assignment record, member list and planner. CPU costs are in nanoseconds of
// processor time per second.
type Cell struct {
	Size, Cells, Units float64 // instances per cell, cells in all regions, units per cell
	Record             float64 // bytes of the assignment record in the store
	Plan               float64 // ns to plan, encode and decode an assignment
	PollBytes, PollCPU float64 // all-to-all polls as implemented: B/s and ns/s of a member
	VoterBytes         float64 // B/s of a voter, with compact polls of five voters
	MemberBytes        float64 // B/s of a member that is not a voter, with the same polls
	VoterCPU           float64 // ns/s of a voter, if a compact poll costs as much as a token call
	Reads              float64 // store reads per second by all cells
	ZoneWrites         float64 // store writes after the loss of a zone
	AssignmentBytes    float64 // B/s of assignment records sent to a member
	HomeCPU            float64 // ns/s for choosing limit homes as often as implemented
	TokenBytes         float64 // B/s of a home with batched token calls
}

// cellCost estimates the cost of cells with size instances.
func (m model) cellCost(size float64) Cell {
	cells := nodes / size
	c := Cell{Size: size, Cells: cells, Units: units / cells}
	c.Record = m.recordBytes(size, c.Units)
	c.Plan = m.at("plan-lost", c.Units) + m.at("assignment-encode", c.Units) + m.at("assignment-decode", c.Units)
	c.PollBytes, c.PollCPU = m.pollBytes(size), m.pollCPU(size)
	voter := min(voters, size)
	// A voter is polled by all other members and polls the other voters.
	c.VoterBytes = (size - 1 + voter - 1) / voterPollInterval * compactPollBytes
	c.VoterCPU = (size - 1 + voter - 1) / voterPollInterval * m.slope("token-cpu")
	c.MemberBytes = voter / voterPollInterval * compactPollBytes
	c.Reads = cells * cellReadRate
	// Each cell of the zone's region loses a third of its members and makes two writes:
	// a plan and the finished handovers.
	c.ZoneWrites = 2 * cells / regions
	c.AssignmentBytes = assignmentWriteRate / cells * c.Record * base64Factor
	c.HomeCPU = homeSelectionRate(1/cells) * accounts / cells * m.at("home-choice", size)
	// Every cell of the region sends each home one call per tokenCallInterval for all
	// limits of the home. The homes of a region's accounts are instances of the region.
	perHome := float64(accounts) / nodes
	c.TokenBytes = cells / regions / tokenCallInterval * (callHeaderBytes + float64(2*perHome*batchedLimitBytes))
	return c
}

// largestCell returns the largest number of members for which cost is at most bound.
func largestCell(cost func(n float64) float64, bound float64) int {
	n := 1
	for n < nodes && cost(float64(n+1)) <= bound {
		n++
	}
	return n
}

// Partition is a network partition between regions of equal size, and its effect with
// one member list for all regions.
type Partition struct {
	Groups          string // sizes of the separated groups of regions, as text for the page
	Authority       string // regions that keep authority, as text for the page
	AuthorityGroups []int  // numbers of regions in each group that keeps authority
}

// ServedShare returns the share of requests, from 0 to 1, that are served if callers
// and shards are spread evenly over the regions, as the planner spreads them. A request
// is served if the owner of its shard is in the caller's group of regions and the group
// keeps authority.
func (p Partition) ServedShare() float64 {
	share := 0.0
	for _, n := range p.AuthorityGroups {
		share += float64(n*n) / (regions * regions)
	}
	return share
}

// partitions returns the partitions shown on the page. Who keeps authority follows
// from section 4 of the design: an instance keeps its authority while it reaches a
// majority of the members or the store.
func partitions() []Partition {
	return []Partition{
		{"none", "all", []int{4}},
		{"3 + 1, the store with the 3", "the 3 by majority", []int{3}},
		{"3 + 1, the store with the 1", "the 3 by majority, without changes; the 1 by store reads", []int{3, 1}},
		{"2 + 2, the store with one pair", "the pair with the store, by store reads", []int{2}},
		{"1 + 1 + 1 + 1", "the region with the store, by store reads", []int{1}},
		{"1 + 1 + 1 + 1, the store down", "none: no majority", nil},
	}
}
