package instance

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/authority"
	"github.com/parsleyproxy/parsleyproxy/internal/route"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// TestWithdrawnKeyWhileWaiting checks that a request that waits for an owner is not
// sent after its caller key was withdrawn.
func TestWithdrawnKeyWhileWaiting(t *testing.T) {
	n, err := New(settings.Serve{Instance: "i1", AuthorityTTL: time.Second}, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer n.close()
	in := route.Incoming{Target: "/look?hall=1", Header: map[string][]string{"X-Api-Key": {"a-caller-key-0123456789"}}}
	with := &catalogue.Catalogue{
		Services: []catalogue.Service{{ID: "s", Timeout: time.Second}},
		Entries:  []catalogue.Entry{{ID: "look", Service: "s", PathPrefix: "/look", RoutingKey: catalogue.KeySource{From: catalogue.FromQuery, Name: "hall"}}},
		Accounts: []catalogue.Account{{ID: "a"}},
		CallerKeys: []catalogue.CallerKey{
			{Hash: fleet.CallerKey("a-caller-key-0123456789").Hash(), Account: "a"},
		},
	}
	without := with.Clone()
	without.CallerKeys = nil
	tests := map[string]struct {
		c    *catalogue.Catalogue
		rev  fleet.Revision
		want fleet.Reason
	}{
		"unchanged": {with, 1, fleet.ReasonNoOwner},
		"changed":   {with, 2, fleet.ReasonNoOwner},
		"withdrawn": {without, 2, fleet.ReasonUnauthenticated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := emptySnapshot()
			s.known, s.catalogue, s.index = authority.Revisions{Catalogue: tt.rev}, tt.c, route.NewIndex(tt.c)
			n.current.Store(s)
			j := &job{decidedRevision: 1, recheck: func(s *snapshot) *fleet.Refusal {
				_, refusal := route.Decide(time.Now(), s.index, in)
				return refusal
			}}
			_, refusal := n.routeAttempt(t.Context(), j, 0)
			if diff := cmp.Diff(tt.want, refusal.Reason); diff != "" {
				t.Error(diff)
			}
		})
	}
}
