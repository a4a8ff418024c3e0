package direct

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
)

// Guards against an entry whose service is not valid UTF-8, which a Prometheus label
// must be, that ends each scrape of the metrics in a panic.
func TestMetricsOfServiceWithInvalidName(t *testing.T) {
	m := NewMetrics()
	r := New(Settings{Instance: "i1"}, Platform{}, m, hclog.NewNullLogger())
	now := time.Now()
	r.setUpstreams(now, now, []balance.Registration{{ID: "a", Service: "s\xff", Slots: 1}, {ID: "b", Service: "t", Slots: 1}})
	m.countRequest("s\xff", http.StatusOK, "", time.Second)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`upstreams{service="s�",state="usable"} 1`, `upstreams{service="t",state="usable"} 1`, `seconds_count{service="s�"} 1`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("the metrics have no line with %s", want)
		}
	}
}

// Guards against invalid entries that nobody sees, and against a log line at each read.
func TestInvalidEntriesAreCountedAndLogged(t *testing.T) {
	m := NewMetrics()
	var log strings.Builder
	r := New(Settings{Instance: "i1"}, Platform{}, m, hclog.New(&hclog.LoggerOptions{Output: &log}))
	now := time.Now()
	problems := []error{errors.New("entry a"), errors.New("entry b"), errors.New("entry c"), errors.New("entry d")}
	lines := func() int { return strings.Count(log.String(), "invalid store entries ignored") }
	for i, want := range []int{1, 1, 2} {
		r.noteInvalid(now.Add(time.Duration(i)*invalidLogInterval/2), entryUpstream, problems)
		if got := lines(); got != want {
			t.Errorf("%d log lines after read %d, want %d", got, i+1, want)
		}
	}
	r.noteInvalid(now, entryConfiguration, problems[:1])
	r.noteInvalid(now, entryConfiguration, nil)
	if got := lines(); got != 3 {
		t.Errorf("%d log lines with another kind, want 3", got)
	}
	if !strings.Contains(log.String(), "entries=4") || !strings.Contains(log.String(), "entry c") || strings.Contains(log.String(), "entry d") {
		t.Errorf("log without the number of entries or the first three: %s", log.String())
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{`invalid_entries_total{kind="upstream"} 12`, `invalid_entries_total{kind="configuration"} 1`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("the metrics have no line with %s", want)
		}
	}
}
