package direct

import (
	"testing"
	"time"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Guards against requests to an upstream that leaves, because the reply that says so
// follows a delayed one, whose list therefore looks newer.
func TestChangeAfterDelayedReplyIsApplied(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ready := balance.Registration{ID: "u", Service: "s", Addr: "1.2.3.4:5", Slots: 6, Boot: "1"}
	draining := ready
	draining.Draining = true
	for name, c := range map[string]struct {
		nextTerm  fleet.Revision // of the leader that sends the change
		fromStore bool           // the instance reads the store itself before the change
	}{
		"of the same leader": {nextTerm: 7},
		"of another leader":  {nextTerm: 8},
		"after its own list": {nextTerm: 7, fromStore: true},
	} {
		r, _ := newRouter(t, "a")
		replyAt := func(now time.Time, term fleet.Revision, seq uint64, age time.Duration, changed ...balance.Registration) {
			rep := report{ListTerm: r.listReplica.term, ListSeq: r.listReplica.seq}
			complete := rep.ListTerm != term
			r.applyReply(now, now, rep, reply{Term: term, List: listDelta{Seq: seq, Age: age, Complete: complete, Changed: changed}})
		}
		replyAt(at(900), 7, 1, 100*time.Millisecond, ready) // made at 100, so that its list is that of 0
		if c.fromStore {
			r.listFromStore = true
			r.setUpstreams(at(910), at(901), []balance.Registration{ready})
		}
		replyAt(at(910), c.nextTerm, 2, 400*time.Millisecond, draining) // the list of 510
		replyAt(at(1600), c.nextTerm, 2, 590*time.Millisecond)          // the list of 1010 is the same
		if !r.upstreams.Get("u").Leaving() {
			t.Errorf("change %s: the upstream counts as ready after it was listed as draining", name)
		}
	}
}

// Guards against a list that counts as newer than it is because the report or the reply
// was delayed on its way.
func TestReplyTimeIncludesDelays(t *testing.T) {
	sentAt := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		arrival, held, want time.Duration // since the report was sent
	}{
		"held by the leader":   {710 * time.Millisecond, 700 * time.Millisecond, 700 * time.Millisecond},
		"delayed on its way":   {900 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
		"clocks of other rate": {700 * time.Millisecond, 701 * time.Millisecond, 700 * time.Millisecond},
		"time not stated":      {900 * time.Millisecond, -1, 900 * time.Millisecond},
	} {
		if got := replyTime(sentAt.Add(c.arrival), sentAt, c.held).Sub(sentAt); got != c.want {
			t.Errorf("%s: replied %v after the report, want %v", name, got, c.want)
		}
	}
}
