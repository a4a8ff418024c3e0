package direct

import (
	"testing"
	"time"
)

// largeModel is a fleet with the load of deployment S.
func largeModel(seed uint64) modelConfig {
	return modelConfig{
		instances: 80, upstreams: 230, rate: 1400, report: 700 * time.Millisecond, seed: seed,
		bursts: []modelBurst{
			{"60-keys", 14 * time.Second, 18500 * time.Millisecond, 60, 0.38},
			{"200-keys", 24 * time.Second, 28500 * time.Millisecond, 200, 0.38},
			{"one-key", 34 * time.Second, 39 * time.Second, 1, 0.16},
		},
	}
}

// smallModel is a fleet of 12 instances with the same load on each upstream.
func smallModel(seed uint64) modelConfig {
	c := largeModel(seed)
	c.instances, c.upstreams, c.report, c.rate = 12, 12, 300*time.Millisecond, 1400*12/230.0
	return c
}

// runModels returns the sums of the counts of several runs, by burst, and the largest number
// of shards.
func runModels(t *testing.T, seeds int, config func(uint64) modelConfig) (map[string]*modelCounts, int) {
	t.Helper()
	sums, shards := make(map[string]*modelCounts), 0
	for seed := range uint64(seeds) {
		m := newHoldersModel(config(seed))
		m.run()
		for name, c := range m.counts {
			if sums[name] == nil {
				sums[name] = &modelCounts{}
			}
			sums[name].requests += c.requests
			sums[name].onTime += c.onTime
			sums[name].fullRefusals += c.fullRefusals
		}
		shards = max(shards, m.maxShards)
	}
	for name, c := range sums {
		t.Logf("all, %s: %5d requests: on time %.3f, refused by full holders %.3f", name, c.requests, float64(c.onTime)/float64(c.requests), float64(c.fullRefusals)/float64(c.requests))
	}
	return sums, shards
}

// modelBounds are the least share of requests answered on time in each phase.
type modelBounds map[string]float64

func (b modelBounds) check(t *testing.T, sums map[string]*modelCounts) {
	t.Helper()
	for phase, want := range b {
		if got := float64(sums[phase].onTime) / float64(sums[phase].requests); got < want {
			t.Errorf("%s: %.3f of the requests answered on time, want %.3f", phase, got, want)
		}
	}
}

// Guards against load on neighbouring keys that stays on one or a few holders of a large
// service for seconds, against requests that are sent to full holders, and against parts
// that move all the time by random variation: 1,700 shards and more than all keys moved
// within 40 s.
func TestHoldersOfLargeFleet(t *testing.T) {
	sums, shards := runModels(t, 2, largeModel)
	modelBounds{"steady": 0.93, "60-keys": 0.90, "200-keys": 0.87, "one-key": 0.82}.check(t, sums)
	for phase, c := range sums {
		if share := float64(c.fullRefusals) / float64(c.requests); share > 0.03 {
			t.Errorf("%s: full holders refused %.3f of the requests", phase, share)
		}
	}
	if shards > 1400 {
		t.Errorf("%d shards, want at most 1400", shards)
	}
}

// Guards against a placement for large services that serves small ones worse.
func TestHoldersOfSmallFleet(t *testing.T) {
	sums, _ := runModels(t, 6, smallModel)
	modelBounds{"steady": 0.92, "60-keys": 0.83, "200-keys": 0.79, "one-key": 0.88}.check(t, sums)
}

// Guards against a placement or senders that depend on fresh reports: with reports 2 s apart,
// as after the loss of a leader, the load of bursts stayed on full holders.
func TestHoldersWithLateReports(t *testing.T) {
	sums, _ := runModels(t, 1, func(seed uint64) modelConfig {
		c := largeModel(seed)
		c.report = 2 * time.Second
		return c
	})
	modelBounds{"steady": 0.92, "60-keys": 0.86, "200-keys": 0.83, "one-key": 0.81}.check(t, sums)
}

// Guards against waves of the whole demand that count as surges of all holders.
func TestHoldersWithWaves(t *testing.T) {
	sums, shards := runModels(t, 1, func(seed uint64) modelConfig {
		c := largeModel(seed)
		c.wave, c.bursts = 0.55, nil
		return c
	})
	modelBounds{"steady": 0.90}.check(t, sums)
	if shards > 1000 {
		t.Errorf("%d shards, want at most 1000", shards)
	}
}
