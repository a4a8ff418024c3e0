package direct

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/routes"
)

// Guards against limits of the configuration in force that do not apply to open connections,
// and against connections of callers that are closed before its idle timeout, while a request
// may be under way.
func TestLimitsFollowConfiguration(t *testing.T) {
	callers, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: http.NotFoundHandler(), ReadTimeout: serverReadTimeout, MaxBody: maxCallerBody})
	if err != nil {
		t.Fatal(err)
	}
	defer callers.Close()
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	r.callers.Store(callers)
	defaults := http1.Limits{MaxHead: 64 << 10, MaxBody: maxCallerBody, HeadTimeout: defaultHeadTimeout, IdleTimeout: serverReadTimeout}
	for i, tc := range []struct {
		stated routes.CallerLimits
		want   http1.Limits
	}{
		{routes.CallerLimits{}, defaults},
		{
			routes.CallerLimits{MaxHead: 16384, MaxBody: 1 << 20, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
			http1.Limits{MaxHead: 16384, MaxBody: 1 << 20, HeadTimeout: 3 * time.Second, IdleTimeout: 20 * time.Second},
		},
		{routes.CallerLimits{IdleTimeout: 2 * time.Second}, http1.Limits{MaxHead: 64 << 10, MaxBody: maxCallerBody, HeadTimeout: defaultHeadTimeout, IdleTimeout: 4 * time.Second}},
		{routes.CallerLimits{MaxHead: 1 << 30, MaxBody: 1 << 30, IdleTimeout: 90 * time.Second}, http1.Limits{MaxHead: 64 << 10, MaxBody: maxCallerBody, HeadTimeout: defaultHeadTimeout, IdleTimeout: 95 * time.Second}},
		{routes.CallerLimits{}, defaults},
	} {
		r.setOperatorState(time.Now(), OperatorState{Table: &routes.Table{Version: routes.Version(i + 1), Limits: tc.stated}})
		if diff := cmp.Diff(tc.want, callers.Limits()); diff != "" {
			t.Errorf("limits %+v (-want +got):\n%s", tc.stated, diff)
		}
	}
}
