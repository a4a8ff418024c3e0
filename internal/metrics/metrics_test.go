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

// observeAll makes every metric appear.
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

// Guards against a page that names other metrics than the code has.
func TestPageMatchesMetrics(t *testing.T) {
	m := New()
	observeAll(m)
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var have []string
	for _, f := range families {
		have = append(have, f.GetName())
	}
	page, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(parsley_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, match[1])
	}
	slices.Sort(have)
	slices.Sort(listed)
	if diff := cmp.Diff(have, listed); diff != "" {
		t.Error(diff)
	}
}

// Guards against alerts on metrics that do not exist.
func TestAlertsNameMetrics(t *testing.T) {
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
		t.Fatal("no alert names a metric")
	}
	for _, n := range names {
		if !strings.Contains(string(text), "\n"+n+"{") && !strings.Contains(string(text), "\n"+n+" ") {
			t.Errorf("alert on %s, which is no series", n)
		}
	}
}

// Guards against a series per account without bound.
func TestAccountsAreBounded(t *testing.T) {
	m := New()
	for i := range maxAccounts + 50 {
		m.Refused(fleet.AccountID(fmt.Sprint("a", i)), fleet.ReasonRateLimited)
	}
	if diff := cmp.Diff(maxAccounts+1, testutil.CollectAndCount(m.refusals)); diff != "" {
		t.Error(diff)
	}
}
