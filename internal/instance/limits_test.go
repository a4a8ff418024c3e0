package instance

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// TestRaisedLimitOfDelayedRecords guards against a bucket that is refilled at a raised
// rate for the time before the change was known, because the records wait for a lock
// after the clock was read.
func TestRaisedLimitOfDelayedRecords(t *testing.T) {
	n, err := New(settings.Serve{Instance: "i1", AuthorityTTL: time.Second}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	id, now := fleet.AccountLimit("a"), time.Now()
	withRate := func(rev fleet.Revision, rate fleet.PerSecond) *snapshot {
		s := emptySnapshot()
		c := &catalogue.Catalogue{Accounts: []catalogue.Account{{ID: "a", Limit: fleet.Limit{Rate: rate, Burst: 1e6}}}}
		s.known, s.catalogue, s.index = authority.Revisions{Catalogue: rev}, c, route.NewIndex(c)
		return s
	}
	before, after := withRate(1, 0.001), withRate(2, 100)
	after.assignment = before.assignment
	n.current.Store(before)
	n.cachedAuthorityEnd = now.Add(time.Hour)
	n.homes.activate(now.Add(-2*time.Hour), id, 0)
	n.replaceSnapshot(now.Add(-time.Hour), before, after)
	// 2 h at the lower rate are 7 tokens, 1 min at the higher rate is the time that the
	// test may take, and 1 h at the higher rate would be 360,000 tokens.
	if level := n.home.Release(time.Now(), id); level < 7 || level > 7+100*60 {
		t.Errorf("%d tokens after the limit was raised, want 7 and those of the time since then", level)
	}
}
