package direct

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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
