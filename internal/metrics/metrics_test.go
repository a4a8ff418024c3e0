package metrics

import (
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/parsleyproxy/parsleyproxy/internal/assignment"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// observeAll records an observation for every metric, so that all are exported.
func observeAll(m *Metrics) {
	m.Served("acme", catalogue.Idempotent, 200, 15*time.Millisecond)
	m.Refused("", fleet.ReasonUnauthenticated)
	m.Move(assignment.CauseUpstreamLost)
	m.StoreCall("changes")
	m.ControlMessage("poll")
	m.InForceAfter(time.Second)
	m.AuthorityLeft(time.Second)
	m.LeaseLeft(time.Second)
	m.Members(3)
	m.Upstreams(map[fleet.UpstreamID]assignment.Report{"u": {Limit: 2, InFlight: 1, Queued: 4}})
}

// Guards against a docs/metrics.md that lists other metrics than the code exports.
func TestPageMatchesMetrics(t *testing.T) {
	m := New()
	observeAll(m)
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var registered []string
	for _, f := range families {
		registered = append(registered, f.GetName())
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var documented []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(parsley_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1])
	}
	slices.Sort(registered)
	slices.Sort(documented)
	if diff := cmp.Diff(registered, documented); diff != "" {
		t.Error(diff)
	}
}

// Guards against alerts that use a metric that does not exist.
func TestAlertsNameExistingMetrics(t *testing.T) {
	m := New()
	observeAll(m)
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	text, err := io.ReadAll(rec.Body)
	if err != nil {
		t.Fatal(err)
	}
	alerts, err := os.ReadFile("../../deploy/alerts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile(`parsley_[a-z_]+`).FindAllString(string(alerts), -1)
	if len(names) == 0 {
		t.Fatal("alerts.yaml names no metric")
	}
	for _, n := range names {
		if !strings.Contains(string(text), "\n"+n+"{") && !strings.Contains(string(text), "\n"+n+" ") {
			t.Errorf("alerts.yaml names the metric %s, which is not exported", n)
		}
	}
}

// Guards against an unbounded number of time series when there are many accounts.
func TestAccountLabelsAreBounded(t *testing.T) {
	m := New()
	for i := range maxAccountLabels + 50 {
		m.Refused(fleet.AccountID(fmt.Sprint("a", i)), fleet.ReasonRateLimited)
	}
	if diff := cmp.Diff(maxAccountLabels+1, testutil.CollectAndCount(m.refusals)); diff != "" {
		t.Error(diff)
	}
}
