package direct

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// Guards against bounds on callers that exceed the descriptors or the memory of an instance,
// or that ordinary load meets on the smallest instances.
func TestDescriptorShares(t *testing.T) {
	for _, tc := range []struct {
		descriptors, memoryMb int64
		want                  connShares
	}{
		{0, 0, connShares{0, maxProbeConns, 0}},
		{3075, 144, connShares{1437, 179, 221}},
		{4100, 184, connShares{1884, 243, 282}},
		{10250, 536, connShares{5025, 628, 823}},
		{210, 16, connShares{minCallerConns, minProbeConns, minRequests}},
		{0, 144, connShares{1474, maxProbeConns, 221}},
	} {
		got := descriptorShares(int(tc.descriptors), tc.memoryMb<<20)
		if diff := cmp.Diff(tc.want, got, cmp.AllowUnexported(connShares{})); diff != "" {
			t.Errorf("%d descriptors, %d MiB (-want +got):\n%s", tc.descriptors, tc.memoryMb, diff)
		}
		if tc.descriptors < 1000 {
			continue
		}
		total := got.callers*17/16 + 2*got.probes + got.requests + MaxIdleUpstreamConns(int(tc.descriptors))
		if free := int(tc.descriptors) - reservedDescriptors; total > free {
			t.Errorf("%d descriptors: %d of %d are given away", tc.descriptors, total, free)
		}
	}
}

// Guards against a log that a crowd fills, and against counts that its lines lose.
func TestClosedCallersAreLoggedAtABoundedRate(t *testing.T) {
	var c closedCallers
	start, lines, total := time.Unix(1000, 0), 0, 0
	for i := range 1001 { // one each 100 ms, for 100 s
		counts := c.add(start.Add(time.Duration(i)*100*time.Millisecond), http1.ClosedEvicted)
		if counts != nil {
			lines++
		}
		total += counts[http1.ClosedEvicted]
	}
	if diff := cmp.Diff([]int{11, 1001}, []int{lines, total}); diff != "" {
		t.Errorf("lines and counted connections (-want +got):\n%s", diff)
	}
}
