package fleet_test

import (
	"fmt"
	"strings"
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

// Guards against a reason without an HTTP error status, and against a reason with
// outcome not-run although the request was sent to an upstream.
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

// Guards against text that is longer than a hash, with which hex.Decode wrote past
// the end of the hash, and against an error that repeats what may be a caller key.
func TestParseCallerKeyHash(t *testing.T) {
	want := fleet.CallerKey("x").Hash()
	if got, err := fleet.ParseCallerKeyHash(want.String()); err != nil || !got.Equal(want) {
		t.Errorf("ParseCallerKeyHash(own form) = %v, %v", got, err)
	}
	for _, s := range []string{"", "ab", "secret-caller-key", want.String() + "00", strings.Repeat("x", 64)} {
		_, err := fleet.ParseCallerKeyHash(s)
		if err == nil || s != "" && strings.Contains(err.Error(), s) {
			t.Errorf("ParseCallerKeyHash(%q) = %v", s, err)
		}
	}
}
