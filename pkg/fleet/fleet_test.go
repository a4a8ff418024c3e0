package fleet_test

import (
	"fmt"
	"testing"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func ExampleRoutingKey_Shard() {
	fmt.Println(fleet.RoutingKey("hall-7").Shard(256) == fleet.RoutingKey("hall-7").Shard(256))
	fmt.Println(fleet.RoutingKey("hall-7").Shard(1))
	// Output:
	// true
	// 0
}

func ExampleCallerKey() {
	fmt.Printf("%v %s %#v\n", fleet.CallerKey("secret"), fleet.CallerKey("secret"), fleet.CallerKey("secret"))
	// Output: [caller key] [caller key] [caller key]
}

// Guards against a reason without an HTTP status and against a reason that says
// not run although the request was sent.
func TestReasons(t *testing.T) {
	for r, status := range fleet.Reasons() {
		if status < 400 || r.Status() != status {
			t.Errorf("%s: status %d", r, status)
		}
		sent := r == fleet.ReasonTimeout || r == fleet.ReasonConnectionLost || r == fleet.ReasonBadAnswer
		if got := r.Outcome() == fleet.Unknown; got != sent {
			t.Errorf("%s: unknown = %t, want %t", r, got, sent)
		}
	}
}
