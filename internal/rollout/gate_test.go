package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a share for the verdict that grows with the number of routes.
func TestEvenShareOfManyRoutes(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGate(rand.New(rand.NewPCG(1, 2)))
	g.SetDirectives(now, []Directive{{Service: "svc", Share: 0.1, Even: true}})
	const n = 4000
	picked := 0
	for i := range n {
		if g.Pick(now, "svc", fmt.Sprint(i%8)) {
			picked++
		}
	}
	if share := float64(picked) / n; share > 0.12 {
		t.Errorf("share %.2f of 8 routes, want 0.1", share)
	}
}
