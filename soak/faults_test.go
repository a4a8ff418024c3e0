package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/parsleyproxy/parsleyproxy/internal/standin/front"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
)

// randomDuration draws a duration of at least least and less than most.
func (env *testEnv) randomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(env.rng.Int64N(int64(most-least)))
}

// injectFaults starts random faults for a time d, with random pauses between their
// starts, so that faults overlap. It returns when all faults have ended.
func (env *testEnv) injectFaults(d time.Duration) {
	var g sync.WaitGroup
	defer g.Wait()
	faults := []func(*sync.WaitGroup){
		env.killInstance, env.killInstance, env.pauseInstance, env.pauseInstance, env.terminateInstance, env.terminateInstance, env.hangUpInstance, env.killAllInstances,
		env.storeFault, env.storeFault, env.storeFault, env.storeLinkFault, env.storeLinkFault,
		env.crashUpstream, env.crashUpstream, env.replaceUpstream, env.upstreamLinkFault, env.upstreamLinkFault,
		env.changeConfig, env.changeConfig, env.evacuateZone,
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(env.randomDuration(100*time.Millisecond, 900*time.Millisecond)) {
		faults[env.rng.IntN(len(faults))](&g)
	}
}

// Restorations of the store: how long the store is away, how old the copy is, when
// operators and upstreams have written again what was lost, and how often it happens.
const (
	minRestoreOutage, maxRestoreOutage = 100 * time.Millisecond, 2 * time.Second
	minCopyAge, maxCopyAge             = time.Second, 9 * time.Second
	maxRewriteDelay                    = 500 * time.Millisecond
	minRestorePause, maxRestorePause   = time.Second, 6 * time.Second
	maxSecondRestorePause              = 2 * time.Second
)

// injectRestorations restores the store from copies for a time d, with random pauses, and
// half of the times twice in a row. It draws from a source of its own, so that the other
// faults of a seed are the same without it.
func (env *testEnv) injectRestorations(rng *rand.Rand, d time.Duration) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	var g sync.WaitGroup
	defer g.Wait()
	end := time.Now().Add(d)
	for {
		time.Sleep(between(minRestorePause, maxRestorePause))
		if time.Now().After(end) {
			return
		}
		env.restoreStore(rng, &g, between(minRestoreOutage, maxRestoreOutage))
		if rng.IntN(2) == 0 {
			time.Sleep(between(0, maxSecondRestorePause))
			env.restoreStore(rng, &g, between(minRestoreOutage, maxRestoreOutage))
		}
	}
}

// restoreStore makes the store unavailable for a time away, and restores it from a random
// copy. What operators wrote, and the removals of upstreams' entries, are repeated after
// random delays; upstreams that are alive write their entries at the next heartbeat.
func (env *testEnv) restoreStore(rng *rand.Rand, g *sync.WaitGroup, away time.Duration) {
	fault := standin.Fault{NoResponse: true}
	if rng.IntN(3) == 0 {
		fault = standin.Fault{Status: 503}
	}
	paused := rng.IntN(2) == 0 // leases pause meanwhile
	env.recordStoreDisturbance(away + max(maxRewriteDelay, heartbeatInterval))
	end := env.beginStoreFault(paused, func(string) standin.Fault { return fault })
	time.Sleep(away)
	c, found := env.anyCopy(rng)
	if !found {
		end()
		return
	}
	lost := env.store.Restore(c.Copy)
	env.logFault("store: restored after %v away, from a copy of %.2f s, %v old", away, c.takenAt.Sub(env.startedAt).Seconds(), time.Since(c.takenAt).Round(time.Millisecond))
	end()
	for _, w := range lost {
		if w.TTL == 0 {
			scheduleFunc(g, time.Duration(rng.Int64N(int64(maxRewriteDelay))), func() { env.store.Repeat(w) })
		}
	}
}

// copyStore takes a copy of the store, and drops those that are too old to be used.
func (env *testEnv) copyStore() {
	c := storeCopy{env.store.Copy(), time.Now()}
	env.mu.Lock()
	defer env.mu.Unlock()
	for len(env.copies) > 0 && time.Since(env.copies[0].takenAt) > maxCopyAge {
		env.copies = env.copies[1:]
	}
	env.copies = append(env.copies, c)
}

// anyCopy draws a copy that is old enough to be used. It reports false if there is none.
func (env *testEnv) anyCopy(rng *rand.Rand) (storeCopy, bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for n < len(env.copies) && time.Since(env.copies[n].takenAt) >= minCopyAge {
		n++
	}
	if n == 0 {
		return storeCopy{}, false
	}
	return env.copies[rng.IntN(n)], true
}

// scheduleFunc runs f after d, and lets g wait for it.
func scheduleFunc(g *sync.WaitGroup, d time.Duration, f func()) {
	g.Add(1)
	time.AfterFunc(d, func() {
		defer g.Done()
		f()
	})
}

// anyInstance draws an instance, which may be subject to a fault already.
func (env *testEnv) anyInstance() *instance { return env.instances[env.rng.IntN(len(env.instances))] }

// killInstance kills a process and starts it again after a random time.
func (env *testEnv) killInstance(g *sync.WaitGroup) {
	in, down := env.anyInstance(), env.randomDuration(50*time.Millisecond, 2*time.Second)
	if !in.beginFault(down, false) {
		return
	}
	env.logFault("kill %s for %v", in.name, down)
	in.kill()
	scheduleFunc(g, down, in.restart)
}

// killAllInstances kills all processes that no other fault affects, and starts them again
// together.
func (env *testEnv) killAllInstances(g *sync.WaitGroup) {
	down := env.randomDuration(50*time.Millisecond, time.Second)
	for _, in := range env.instances {
		if in.beginFault(down, false) {
			env.logFault("kill %s for %v, together with other instances", in.name, down)
			in.kill()
			scheduleFunc(g, down, in.restart)
		}
	}
}

// pauseInstance stops a process with SIGSTOP and continues it after a random time.
func (env *testEnv) pauseInstance(g *sync.WaitGroup) {
	in, d := env.anyInstance(), env.randomDuration(200*time.Millisecond, 4*time.Second)
	if !in.beginFault(d, false) {
		return
	}
	env.logFault("pause %s for %v", in.name, d)
	in.signal(syscall.SIGSTOP)
	scheduleFunc(g, d, func() {
		env.recordThaw()
		in.signal(syscall.SIGCONT)
		in.recordDisturbance(0, false)
		in.endFault()
	})
}

// terminateInstance terminates and restarts a random instance.
func (env *testEnv) terminateInstance(g *sync.WaitGroup) { env.terminate(env.anyInstance(), g) }

// terminate ends a process with SIGTERM, as the platform does for a planned restart, and
// starts it again. The process must exit within the grace period.
func (env *testEnv) terminate(in *instance, g *sync.WaitGroup) {
	if !in.beginFault(gracePeriod, true) {
		return
	}
	env.logFault("SIGTERM %s", in.name)
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	in.signal(syscall.SIGTERM)
	g.Add(1)
	go func() {
		defer g.Done()
		select {
		case <-exited:
		case <-time.After(gracePeriod):
			env.t.Errorf("%s is still running %v after SIGTERM; killing it", in.name, gracePeriod)
			in.kill()
		}
		in.restart()
	}()
}

// hangUpInstance sends SIGHUP to a process. It records no disturbance, so the signal must
// not affect any guarantee.
func (env *testEnv) hangUpInstance(*sync.WaitGroup) {
	in := env.anyInstance()
	env.logFault("SIGHUP %s", in.name)
	in.signal(syscall.SIGHUP)
}

// recordStoreDisturbance records a disturbance of the store that starts now and lasts for
// d.
func (env *testEnv) recordStoreDisturbance(d time.Duration) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.storeDisturbances = append(env.storeDisturbances, disturbance{begin: time.Now(), end: time.Now().Add(d)})
}

// storeFault injects a random fault into the store for a random time. Most faults affect
// either all calls or about every second call.
func (env *testEnv) storeFault(g *sync.WaitGroup) {
	d := env.randomDuration(500*time.Millisecond, 4*time.Second)
	rate := env.rng.Float64()
	names := []string{"down", "answers 503", "answers 429", "slow", "drops responses", "late", "drops history"}
	name := names[env.rng.IntN(len(names))]
	var mu sync.Mutex
	sometimes := func(f standin.Fault) func(string) standin.Fault {
		return func(string) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if rate < 0.5 && time.Now().UnixNano()/1000%2 == 0 {
				return standin.Fault{}
			}
			return f
		}
	}
	env.recordStoreDisturbance(d)
	env.logFault("store: %s for %v", name, d)
	fault := standin.Fault{}
	switch name {
	case "down":
		scheduleFunc(g, d, env.beginStoreFault(rate < 0.5, func(string) standin.Fault { return standin.Fault{NoResponse: true} }))
		return
	case "answers 503":
		fault.Status = 503
	case "answers 429":
		fault.Status = 429
	case "slow":
		fault.Delay = 300 * time.Millisecond
	case "drops responses":
		fault.DropResponse = true
	case "late":
		fault.ExecuteAfter = env.randomDuration(time.Second, 4*time.Second)
	case "drops history":
		env.store.DropHistory()
		return
	}
	scheduleFunc(g, d, env.beginStoreFault(false, sometimes(fault)))
}

// beginStoreFault sets a fault of the store, in place of one that has not ended. end ends
// it, unless another one has replaced it.
func (env *testEnv) beginStoreFault(freezeLeases bool, fault func(string) standin.Fault) (end func()) {
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.storeFaults++
	n := env.storeFaults
	env.store.FreezeLeases(freezeLeases)
	env.store.SetFault(fault)
	return func() {
		env.faultMu.Lock()
		defer env.faultMu.Unlock()
		if env.storeFaults == n {
			env.store.SetFault(nil)
			env.store.FreezeLeases(false)
		}
	}
}

// linkFaults are the faults that are injected into links. ModeHold is left out, because it
// loses nothing: it delivers the bytes after the fault.
var linkFaults = []relay.Fault{
	{Mode: relay.ModeCut, Direction: relay.Both},
	{Mode: relay.ModeCut, Direction: relay.ToClient},
	{Mode: relay.ModeCut, Direction: relay.ToTarget},
	{Mode: relay.ModeReset},
	{Mode: relay.ModeSilent},
	{Mode: relay.ModeDelay, Direction: relay.Both, Delay: 150 * time.Millisecond},
	{Mode: relay.ModeRefuse},
}

// injectLinkFault injects a random fault into the relay's route for d.
func (env *testEnv) injectLinkFault(g *sync.WaitGroup, route string, d time.Duration) {
	fault := linkFaults[env.rng.IntN(len(linkFaults))]
	env.logFault("link %s: %s %s for %v", route, fault.Mode, fault.Direction, d)
	env.faultMu.Lock()
	defer env.faultMu.Unlock()
	env.linkFaults[route]++
	n := env.linkFaults[route]
	if err := env.relays.SetFault(route, fault); err != nil {
		env.t.Error(err)
	}
	scheduleFunc(g, d, func() {
		env.faultMu.Lock()
		defer env.faultMu.Unlock()
		if env.linkFaults[route] != n {
			return // another fault has replaced this one
		}
		env.recordHeal(route)
		if err := env.relays.SetFault(route, relay.Fault{Mode: relay.ModeOK}); err != nil {
			env.t.Error(err)
		}
	})
}

// recordThaw records that a paused process continues now.
func (env *testEnv) recordThaw() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.thawedAt = append(env.thawedAt, time.Now())
}

// recordHeal records that a fault of a relay's route ends now.
func (env *testEnv) recordHeal(route string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.healedAt[route] = append(env.healedAt[route], time.Now())
}

// storeLinkFault injects a fault into the link between a random instance and the store.
func (env *testEnv) storeLinkFault(g *sync.WaitGroup) {
	in, d := env.anyInstance(), env.randomDuration(300*time.Millisecond, 4*time.Second)
	if !in.beginFault(d, false) {
		return
	}
	env.injectLinkFault(g, in.storeRoute(), d)
	scheduleFunc(g, d, in.endFault)
}

// anyActiveUpstream draws an upstream that is neither down nor leaving. It returns
// nil if 20 draws find none.
func (env *testEnv) anyActiveUpstream() *upstream {
	all := env.currentUpstreams()
	for range 20 {
		u := all[env.rng.IntN(len(all))]
		u.mu.Lock()
		active := !u.down && u.leftAt.IsZero()
		u.mu.Unlock()
		if active {
			return u
		}
	}
	return nil
}

// upstreamLinkFault injects a fault into the links from all instances to an upstream.
func (env *testEnv) upstreamLinkFault(g *sync.WaitGroup) {
	if u := env.anyActiveUpstream(); u != nil {
		env.injectLinkFault(g, u.route, env.randomDuration(300*time.Millisecond, 3*time.Second))
	}
}

// crashUpstream crashes an upstream and restarts it after a random time.
func (env *testEnv) crashUpstream(g *sync.WaitGroup) {
	u, d := env.anyActiveUpstream(), env.randomDuration(100*time.Millisecond, 3*time.Second)
	if u == nil {
		return
	}
	env.logFault("crash %s for %v", u.ID(), d)
	u.mu.Lock()
	u.down = true
	if u.limit != nil {
		u.limit.end, u.limit = time.Now(), nil
	}
	u.mu.Unlock()
	u.Crash()
	scheduleFunc(g, d, func() {
		u.mu.Lock()
		if err := u.Restart(); err != nil {
			env.t.Error(err)
		}
		u.down = false
		u.mu.Unlock()
		env.writeHeartbeat(u)
	})
}

// replaceUpstream adds an upstream, and after one second lets another one of the same
// service and zone leave. The one that leaves either writes an entry in state draining,
// which is removed one second after drainTime has passed, or its entry is removed at once.
func (env *testEnv) replaceUpstream(g *sync.WaitGroup) {
	u := env.anyActiveUpstream()
	if u == nil {
		return
	}
	announced := env.rng.IntN(2) == 0
	added := env.addUpstream(u.service, u.zone)
	env.logFault("%s replaces %s; announced by draining: %t", added.ID(), u.ID(), announced)
	scheduleFunc(g, time.Second, func() {
		u.mu.Lock()
		u.draining = announced
		key, value := u.Registration(u.addr, true)
		if announced {
			env.store.PutWithTTL(key, value, 3*heartbeatInterval)
		} else {
			env.store.Remove(key)
		}
		u.leftAt = time.Now()
		u.mu.Unlock()
	})
	scheduleFunc(g, time.Second+drainTime+time.Second, func() {
		u.mu.Lock()
		u.draining = false
		u.mu.Unlock()
		env.store.Remove("servers/" + u.ID())
	})
}

// changeConfig replaces the caller key of a random account, or changes its burst by 1.
func (env *testEnv) changeConfig(*sync.WaitGroup) {
	env.mu.Lock()
	a := env.config.accounts[[]string{"free", "acme", "tiny"}[env.rng.IntN(3)]]
	oldKey := a.key
	if env.rng.IntN(2) == 0 {
		a.key = strings.SplitN(a.key, "+", 2)[0] + "+" + time.Now().Format("150405.000")
	} else {
		a.burst += 1 - 2*(a.burst%2)
	}
	env.config = env.config.withAccount(a)
	next := env.config
	env.mu.Unlock()
	env.store.Put("op/config", next.encode())
	if a.key != oldKey {
		env.executions.recordWithdrawal(oldKey)
	}
	env.logFault("configuration %d: account %s", next.version, a.name)
}

// evacuateZone asks for the evacuation of a random zone for a random time.
func (env *testEnv) evacuateZone(g *sync.WaitGroup) {
	zone, d := zoneForIndex(env.rng.IntN(3)), env.randomDuration(2*time.Second, 4*time.Second)
	env.logFault("evacuate %s for %v", zone, d)
	env.store.Put("op/evacuate/"+zone, "{}")
	scheduleFunc(g, d, func() { env.store.Remove("op/evacuate/" + zone) })
}
