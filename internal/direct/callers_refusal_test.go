package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
)

// unreadBody is the body of a request that the server has not received.
type unreadBody struct{ err error }

func (b unreadBody) Read([]byte) (int, error) { return 0, b.err }
func (b unreadBody) Close() error             { return nil }

// Guards against a bound on metrics requests in progress that has no effect, because the
// handler of the metrics does not look at the body in whose place the server states it.
func TestMetricsRequestsAboveTheirBoundAreRefused(t *testing.T) {
	served := 0
	handler := refuseUnreceived(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	var got []int
	for _, err := range []error{http1.ErrTooManyRequests, http1.ErrRequestBodyTooLarge} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", unreadBody{err}))
		got = append(got, w.Code)
	}
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if diff := cmp.Diff([]int{http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge, 1}, append(got, served)); diff != "" {
		t.Errorf("statuses, and requests that were served (-want +got):\n%s", diff)
	}
}
