package direct

import (
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
)

// Guards against gauges that show stale state as fresh, or an age for state that is
// unknown.
func TestGaugesShowKnowledgeAge(t *testing.T) {
	m := NewMetrics()
	r := New(Settings{Instance: "i1"}, Platform{}, m, hclog.NewNullLogger())
	exported := func(pattern string) []string {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return regexp.MustCompile("(?m)^parsleyproxy_direct_"+pattern).FindAllString(w.Body.String(), -1)
	}
	if got := exported(`knowledge_age_seconds.*`); len(got) > 0 {
		t.Errorf("ages of unknown state: %q", got)
	}
	now := time.Now()
	r.setOperatorState(now, OperatorState{Table: routes.NewTable(7, nil, nil, nil, nil)})
	r.setInstances(peersNamed(3))
	r.setUpstreams(now, now.Add(-time.Minute), []balance.Registration{
		{ID: "a", Service: "s", Draining: true},
		{ID: "b", Service: "s", ColdLeft: time.Hour},
		{ID: "c", Service: "s"},
		{ID: "d", Service: "s"},
		{ID: "e", Service: "s", ColdLeft: time.Hour},
	})
	r.noteLeaving(now, r.upstreams.Get("b"), "r1", "answer")
	r.notePause(now, r.upstreams.Get("c"), balance.Pause{Asked: true, For: time.Hour}, "r2", "answer")
	for _, want := range []string{
		`configuration_version 7`, `instances 3`, `leading 0`, `knowledge_age_seconds{of="upstreams"} 60`,
		`upstreams{service="s",state="cold"} 1`, `upstreams{service="s",state="leaving"} 2`, `upstreams{service="s",state="usable"} 1`,
		`upstreams{service="s",state="paused"} 1`, `upstreams_leaving_by_answer{service="s"} 1`, `pause_seconds_total{service="s"} 30`, `invalid_pauses_total 1`,
	} {
		if diff := cmp.Diff(1, len(exported(regexp.QuoteMeta(want)))); diff != "" {
			t.Errorf("number of lines with %s: %s", want, diff)
		}
	}
}
