package metrics

import (
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
	"github.com/prometheus/client_golang/prometheus"
	"go.yaml.in/yaml/v3"
)

func registered() map[string]bool {
	descs := make(chan *prometheus.Desc, 100)
	New(1).registry.Describe(descs)
	close(descs)
	names := make(map[string]bool)
	for d := range descs {
		names[regexp.MustCompile(`fqName: "([^"]+)"`).FindStringSubmatch(d.String())[1]] = true
	}
	return names
}

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against metrics without a description and descriptions without a metric.
func TestPage(t *testing.T) {
	page := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `(parsley_[a-z_]+)`").FindAllStringSubmatch(read(t, "../../docs/metrics.md"), -1) {
		page[m[1]] = true
	}
	if diff := cmp.Diff(registered(), page); diff != "" {
		t.Error(diff)
	}
}

// Guards against alerts on metrics that do not exist and without a runbook.
func TestAlerts(t *testing.T) {
	var file struct {
		Groups []struct {
			Rules []struct {
				Alert, Expr string
				Annotations map[string]string
			}
		}
	}
	if err := yaml.Unmarshal([]byte(read(t, "../../deploy/alerts.yaml")), &file); err != nil {
		t.Fatal(err)
	}
	names, anchors := registered(), make(map[string]bool)
	for _, r := range file.Groups[0].Rules {
		for _, m := range regexp.MustCompile(`parsley_[a-z_]+`).FindAllString(r.Expr, -1) {
			if !names[m] {
				t.Errorf("%s: no metric %s", r.Alert, m)
			}
		}
		_, anchor, _ := strings.Cut(r.Annotations["runbook"], "docs/operations.md#")
		anchors[anchor] = true
	}
	want := map[string]bool{
		"store-outage": true, "no-authority": true, "upstream-lost": true, "refusals-inside-rate": true,
		"zone-out": true, "unknown-outcomes": true, "lease-margin-low": true,
	}
	if diff := cmp.Diff(want, anchors); diff != "" {
		t.Error(diff)
	}
}

// Guards against unbounded series when there are many client accounts.
func TestAccountsShareOther(t *testing.T) {
	m := New(2)
	for _, a := range []fleet.AccountID{"a", "b", "c", "a", "d"} {
		m.Answered(a, catalogue.Idempotent, time.Millisecond)
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	got := regexp.MustCompile(`parsley_request_duration_seconds_count\{account="(\w+)"\} (\d)`).FindAllString(w.Body.String(), -1)
	want := []string{
		`parsley_request_duration_seconds_count{account="a"} 2`,
		`parsley_request_duration_seconds_count{account="b"} 1`,
		`parsley_request_duration_seconds_count{account="other"} 2`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
