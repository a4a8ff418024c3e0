package direct

import (
	"context"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryCheckInterval is shorter than the time in which a few large bodies, whose
	// buffers double as they grow, take the memory from memoryNearShare to the limit.
	memoryCheckInterval = 100 * time.Millisecond
	// memoryNearShare and memoryFellShare are the shares of Settings.MaxMemory from which on
	// memory is near its limit, and below which it has fallen again. The garbage collector
	// keeps the memory below the latter, memoryLimitShare, unless more than that is in use.
	memoryNearShare = 0.7
	memoryFellShare = memoryLimitShare
	// memoryStepShare is the growth, as a share of Settings.MaxMemory, after which memory
	// near its limit is logged again before memoryLogInterval has passed.
	memoryStepShare   = 0.05
	memoryLogInterval = 10 * time.Second
	// memoryFellDelay is how long memory must be below memoryFellShare until it counts as
	// fallen: a collection frees the buffers from which growing bodies were copied.
	memoryFellDelay = time.Second
)

// memoryEvent is a change in memory use that is logged.
type memoryEvent int

const (
	memoryUnchanged memoryEvent = iota
	memoryNear
	memoryFell
)

// memoryWatch decides when the memory in use is logged.
type memoryWatch struct {
	limit      int64     // bytes
	near       bool      // memory near its limit was logged last
	logged     int64     // bytes in use when it was last near its limit and logged
	loggedAt   time.Time // the time of that
	belowSince time.Time // since when memory has been below memoryFellShare; zero if it is not
}

// update returns what there is to log if used bytes of memory are in use at now.
func (w *memoryWatch) update(now time.Time, used int64) memoryEvent {
	share := float64(used) / float64(w.limit)
	if share >= memoryFellShare {
		w.belowSince = time.Time{}
	} else if w.belowSince.IsZero() {
		w.belowSince = now
	}
	switch {
	case share >= memoryNearShare:
		grown := float64(used-w.logged) >= memoryStepShare*float64(w.limit)
		if !grown && now.Sub(w.loggedAt) < memoryLogInterval {
			return memoryUnchanged
		}
		w.near, w.logged, w.loggedAt = true, used, now
		return memoryNear
	case w.near && share < memoryFellShare && now.Sub(w.belowSince) >= memoryFellDelay:
		w.near = false
		return memoryFell
	}
	return memoryUnchanged
}

// runtimeMemory reads the memory that the runtime has obtained from the system and not
// returned to it. It exceeds the resident memory by pages that were not used yet, for
// example those of a new buffer, so that it grows earlier.
type runtimeMemory [2]metrics.Sample

func newRuntimeMemory() *runtimeMemory {
	return &runtimeMemory{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
}

func (m *runtimeMemory) read() int64 {
	metrics.Read(m[:])
	return int64(m[0].Value.Uint64()) - int64(m[1].Value.Uint64())
}

// residentMemory returns the resident memory of the process in bytes, 0 if the system does
// not state it.
func residentMemory() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// watchMemory logs when memory comes near its limit and when it has fallen again.
func (r *Router) watchMemory(ctx context.Context) {
	if r.cfg.MaxMemory <= 0 {
		<-ctx.Done()
		return
	}
	memory, watch := newRuntimeMemory(), memoryWatch{limit: r.cfg.MaxMemory}
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			used := memory.read()
			r.relieveMemory(now, used)
			r.noteMemory(now, &watch, used)
		}
	}
}

// noteMemory logs, if it is due, that used bytes of memory are in use.
func (r *Router) noteMemory(now time.Time, watch *memoryWatch, used int64) {
	event := watch.update(now, used)
	if event == memoryUnchanged {
		return
	}
	load := r.memoryLoad()
	fields := []any{
		"bytes", used, "resident-bytes", residentMemory(), "limit-bytes", watch.limit, "response-body-bytes", load.responseBodies,
		"request-body-bytes", load.requestBodies, "caller-connections", load.callerConns, "requests", load.requests,
	}
	if event == memoryNear {
		r.log.Warn("memory near its limit", fields...)
		return
	}
	r.log.Info("memory no longer near its limit", fields...)
}

// memoryLoad is what holds the memory of an instance.
type memoryLoad struct {
	responseBodies int64 // bytes of response bodies of upstreams
	requestBodies  int64 // bytes of request bodies of callers
	callerConns    int   // open connections of callers
	requests       int   // requests of callers in progress
}

func (r *Router) memoryLoad() memoryLoad {
	var load memoryLoad
	if r.platform.UpstreamTransport != nil {
		load.responseBodies = r.platform.UpstreamTransport.BodyBytes()
	}
	if callers := r.callers.Load(); callers != nil {
		u := callers.Usage()
		load.callerConns, load.requests, load.requestBodies = u.Conns, u.Requests, u.BodyBytes
	}
	return load
}

// updateMemoryGauges sets the gauges of memory use and of what holds the memory.
func (r *Router) updateMemoryGauges() {
	m, load := r.metrics, r.memoryLoad()
	m.memory.WithLabelValues("runtime").Set(float64(newRuntimeMemory().read()))
	m.memory.WithLabelValues("resident").Set(float64(residentMemory()))
	m.memoryLimit.Set(float64(r.cfg.MaxMemory))
	m.bodies.WithLabelValues("responses").Set(float64(load.responseBodies))
	m.bodies.WithLabelValues("requests").Set(float64(load.requestBodies))
	if r.platform.UpstreamTransport != nil {
		m.bodies.WithLabelValues("under-way").Set(float64(r.platform.UpstreamTransport.BytesUnderWay()))
	}
	m.callerConns.Set(float64(load.callerConns))
	m.requestsInProgress.Set(float64(load.requests))
}
