package balance

import (
	"slices"
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// departure is the run of an upstream whose registration has disappeared, or was replaced
// by that of another run.
type departure struct {
	boot             fleet.BootID
	addr             string
	at               time.Time
	saidLeaving      bool
	leavingSince     time.Time
	leavingNotBefore time.Time
	pausedUntil      time.Time
	limit            rateLimit
}

func (e *Entry) departure(now time.Time) departure {
	return departure{
		boot: e.Boot, addr: e.Addr, at: now,
		saidLeaving: e.saidLeaving, leavingSince: e.leavingSince, leavingNotBefore: e.leavingNotBefore,
		pausedUntil: e.pausedUntil, limit: e.limit,
	}
}

// SetListedAt records when the list was known to be current. An upstream that the next
// list shows as leaving, or lacks, cannot have left earlier.
func (t *Table) SetListedAt(at time.Time) { t.listedAt = at }

// noteLeaves records that e leaves, as detected at now, and did not leave before notBefore,
// unless that is recorded already. A zero notBefore is unknown.
func (t *Table) noteLeaves(now time.Time, e *Entry, notBefore time.Time) {
	if !e.leavingSince.IsZero() {
		return
	}
	if notBefore.IsZero() || notBefore.After(now) {
		notBefore = now
	}
	e.leavingSince, e.leavingNotBefore = now, notBefore
}

func (e *Entry) learnedAfter() time.Duration { return e.leavingSince.Sub(e.leavingNotBefore) }

func (e *Entry) usedFor() time.Duration { return max(0, e.lastSent.Sub(e.leavingNotBefore)) }

// departureMemory is the time for which departures are remembered, longer than
// registrations of upstreams that have left may be listed again.
const departureMemory = time.Minute

// KeepMissing returns list with the known upstreams that it lacks, except those that
// leave.
func (t *Table) KeepMissing(list []Registration) []Registration {
	listed := make(map[fleet.UpstreamID]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
	}
	for id, e := range t.entries {
		if !listed[id] && !e.Leaving() {
			r := e.Registration
			r.ColdLeft = 0 // already part of coldUntil
			list = append(list, r)
		}
	}
	return list
}

// KeepDraining returns list with those upstreams marked as draining whose runs are known
// to leave: they do not return, but their registrations may be late, or from a store that
// was restored from a copy.
func (t *Table) KeepDraining(list []Registration) []Registration {
	list = slices.Clone(list)
	for i, r := range list {
		if e := t.entries[r.ID]; e != nil && e.Boot == r.Boot && e.Addr == r.Addr && e.Leaving() {
			list[i].Draining = true
		}
	}
	return list
}

// WithoutDeparted returns list without the runs of upstreams that departed before the
// given time. A store that was restored from a copy lists them again.
func (t *Table) WithoutDeparted(list []Registration, before time.Time) []Registration {
	return slices.DeleteFunc(slices.Clone(list), func(r Registration) bool {
		d, known := t.departed[r.ID]
		return known && d.boot == r.Boot && d.at.Before(before)
	})
}

// Pause is a time in which an upstream wants no requests from this instance.
type Pause struct {
	Asked   bool
	For     time.Duration // from the answer; valid if Asked
	Invalid bool          // a value could not be read, or several differed
}

// MaxPause bounds the effect of one answer. A longer pause would keep a faulty upstream
// out of use for longer than it takes to replace it.
const MaxPause = 30 * time.Second

// Pause records that e wants no requests for d, at most MaxPause. It does not shorten a
// pause, and ends with the run. It returns the time that it adds, and whether e did not
// pause before.
func (t *Table) Pause(now time.Time, e *Entry, d time.Duration) (added time.Duration, began bool) {
	from := now
	if now.Before(e.pausedUntil) {
		from = e.pausedUntil
	}
	until := now.Add(min(d, MaxPause))
	if !until.After(from) {
		return 0, false
	}
	e.pausedUntil = until
	return until.Sub(from), from.Equal(now)
}

// PausedUntil returns the end of the last pause of e.
func (e *Entry) PausedUntil() time.Time { return e.pausedUntil }

// FirstResume returns when the first upstream of a service takes requests again, if all
// that are usable pause or have reached their limits, and which of the two it is. It
// returns false if one takes requests now, or if none is usable.
func (t *Table) FirstResume(now time.Time, id fleet.ServiceID) (first time.Time, cause HoldBack, ok bool) {
	for _, e := range t.byService[id] {
		switch {
		case !t.Usable(e) || now.Before(e.ejectedUntil):
		case !now.Before(e.resumesAt()):
			return time.Time{}, cause, false
		case first.IsZero() || e.resumesAt().Before(first):
			first, cause = e.resumesAt(), LimitReached
			if first.Equal(e.pausedUntil) {
				cause = Paused
			}
		}
	}
	return first, cause, !first.IsZero()
}

// Run identifies one run of an upstream.
type Run struct {
	ID   fleet.UpstreamID
	Boot fleet.BootID
	Addr string
}

// LeavingByAnswer returns the number of upstreams of each service of which SaidLeaving
// was called, including zeros.
func (t *Table) LeavingByAnswer() map[fleet.ServiceID]int {
	return t.count(func(e *Entry) bool { return e.saidLeaving })
}

// count returns the number of upstreams of each service for which f reports true.
func (t *Table) count(f func(*Entry) bool) map[fleet.ServiceID]int {
	out := make(map[fleet.ServiceID]int, len(t.byService))
	for id, entries := range t.byService {
		out[id] = 0
		for _, e := range entries {
			if f(e) {
				out[id]++
			}
		}
	}
	return out
}

// RunsLeaving returns the runs of which SaidLeaving was called.
func (t *Table) RunsLeaving() []Run {
	var list []Run
	for _, e := range t.entries {
		if e.saidLeaving {
			list = append(list, e.run())
		}
	}
	return list
}

// GetRun returns the entry of a run, or nil if the run is unknown.
func (t *Table) GetRun(run Run) *Entry {
	if e := t.entries[run.ID]; e != nil && e.run() == run {
		return e
	}
	return nil
}

// RunAddr returns the address of a run that is listed, or whose registration has disappeared
// within departureMemory. It may still serve, since an upstream that cannot reach the store
// loses its registration too. The result is "" if the run is unknown.
func (t *Table) RunAddr(id fleet.UpstreamID, boot fleet.BootID) string {
	if e := t.entries[id]; e != nil && e.Boot == boot {
		return e.Addr
	}
	if d := t.departed[id]; d.boot == boot {
		return d.addr
	}
	return ""
}

func (e *Entry) run() Run { return Run{ID: e.ID, Boot: e.Boot, Addr: e.Addr} }

// SaidLeaving records that an answer of the run e has said that it leaves. It holds for
// this run until its registration is gone, whatever later lists say. It reports whether
// this is the first such answer.
func (t *Table) SaidLeaving(now time.Time, e *Entry) bool {
	if e.saidLeaving {
		return false
	}
	e.saidLeaving = true
	t.noteLeaves(now, e, now)
	return true
}

// Leaving reports whether e leaves, by its registration or by its own answers.
func (e *Entry) Leaving() bool { return e.Draining || e.saidLeaving }

// LeavingSince returns when this instance detected that e leaves, or the zero time.
func (e *Entry) LeavingSince() time.Time { return e.leavingSince }

// LeavingNotBefore returns the earliest time at which e may have started to leave, or the
// zero time if it does not leave. Bounds on its use count from this time, since the
// registration or answer may have arrived late.
func (e *Entry) LeavingNotBefore() time.Time { return e.leavingNotBefore }
