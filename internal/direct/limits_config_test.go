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

// Guards against connections of callers that are closed before the idle timeout of the
// configuration in force, while callers still use them.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	callers, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: http.NotFoundHandler(), ReadTimeout: serverReadTimeout})
	if err != nil {
		t.Fatal(err)
	}
	defer callers.Close()
	r := New(Settings{Instance: "i1"}, Platform{}, NewMetrics(), hclog.NewNullLogger())
	r.callers.Store(callers)
	got := []time.Duration{callers.ReadTimeout()}
	for i, d := range []time.Duration{15 * time.Second, 90 * time.Second, 0} {
		r.setOperatorState(time.Now(), OperatorState{Table: &routes.Table{Version: routes.Version(i + 1), IdleTimeout: d}})
		got = append(got, callers.ReadTimeout())
	}
	if diff := cmp.Diff([]time.Duration{serverReadTimeout, serverReadTimeout, 90 * time.Second, serverReadTimeout}, got); diff != "" {
		t.Errorf("read timeouts (-want +got):\n%s", diff)
	}
}
