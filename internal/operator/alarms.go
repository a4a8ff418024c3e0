package operator

import (
	"fmt"
	"time"
)

// Alarm is a condition that needs an operator's attention. docs/OPERATIONS.md has
// a section for each alarm name.
type Alarm struct {
	Name   AlarmName
	Detail string // one line that names the instance, upstream or service concerned
}

// AlarmName identifies a kind of alarm.
type AlarmName string

// Names of alarms.
const (
	// AlarmNoAuthority means that the instance may not act on its records.
	AlarmNoAuthority AlarmName = "no-authority"
	// AlarmStoreSilent means that the store has not answered for more than 2 s.
	AlarmStoreSilent AlarmName = "store-silent"
	// AlarmMemberSilent means that a member has not answered a poll for more than 600 ms.
	AlarmMemberSilent AlarmName = "member-silent"
	// AlarmMajoritySilent means that at least half of the members do not answer.
	AlarmMajoritySilent AlarmName = "majority-silent"
	// AlarmNotMember means that the instance is not in the member list.
	AlarmNotMember AlarmName = "not-a-member"
	// AlarmNoDispatcher means that no instance is the dispatcher of an upstream.
	AlarmNoDispatcher AlarmName = "no-dispatcher"
	// AlarmUpstreamLost means that an upstream is lost.
	AlarmUpstreamLost AlarmName = "upstream-lost"
	// AlarmUpstreamCold means that an upstream is limited to fewer concurrent requests than when warm.
	AlarmUpstreamCold AlarmName = "upstream-cold"
	// AlarmServiceDown means that a service has no live upstream with a dispatcher.
	AlarmServiceDown AlarmName = "service-down"
	// AlarmOutOfServiceOld means that an item has been out of service for more than 24 h.
	AlarmOutOfServiceOld AlarmName = "out-of-service-old"
)

// AlarmNames returns the names of all alarms, the most severe first.
func AlarmNames() []AlarmName {
	return []AlarmName{
		AlarmNoAuthority, AlarmServiceDown, AlarmMajoritySilent, AlarmMemberSilent, AlarmNotMember,
		AlarmStoreSilent, AlarmUpstreamLost, AlarmNoDispatcher, AlarmUpstreamCold, AlarmOutOfServiceOld,
	}
}

const (
	// storeSilentAfter is longer than the 250 ms between two reads of the store plus a
	// slow response.
	storeSilentAfter = 2 * time.Second
	// memberSilentAfter equals the time without an answer after which the planner
	// removes a member.
	memberSilentAfter = 600 * time.Millisecond
	// outageOldAfter is longer than a usual maintenance window.
	outageOldAfter = 24 * time.Hour
)

// Alarms returns the alarms that follow from the status, the most severe first. It
// does not need the alarms that an instance sent.
func (s Status) Alarms() []Alarm {
	var alarms []Alarm
	add := func(name AlarmName, format string, args ...any) {
		alarms = append(alarms, Alarm{name, fmt.Sprintf(format, args...)})
	}
	if !s.AuthorityUntil.After(s.Now) {
		add(AlarmNoAuthority, "%s may not act since %s ago", s.Instance, formatAge(s.Now, s.AuthorityUntil))
	}
	s.serviceAlarms(add)
	s.memberAlarms(add)
	if s.Now.Sub(s.StoreAnswered) > storeSilentAfter {
		add(AlarmStoreSilent, "the store last answered %s %s ago", s.Instance, formatAge(s.Now, s.StoreAnswered))
	}
	s.upstreamAlarms(add)
	for _, o := range s.OutOfService {
		if s.Now.Sub(o.At) > outageOldAfter {
			add(AlarmOutOfServiceOld, "%s %s is out of service since %s ago, taken out by %s", o.Kind, o.Name, formatAge(s.Now, o.At), o.By)
		}
	}
	return alarms
}

type addAlarmFunc func(name AlarmName, format string, args ...any)

// serviceAlarms reports each service without a live upstream that has a dispatcher.
func (s Status) serviceAlarms(add addAlarmFunc) {
	usable := make(map[string]bool)
	var names []string
	for _, u := range s.Upstreams {
		name := string(u.Service)
		if _, ok := usable[name]; !ok {
			names = append(names, name)
		}
		usable[name] = usable[name] || u.State == "live" && u.Dispatcher != ""
	}
	for _, name := range names {
		if !usable[name] {
			add(AlarmServiceDown, "%s has no live upstream with a dispatcher", name)
		}
	}
}

// memberAlarms reports members that do not answer, the loss of the majority, and an
// instance that is not a member.
func (s Status) memberAlarms(add addAlarmFunc) {
	answered, selfListed := 0, false
	for _, m := range s.Members {
		if m.ID == s.Instance {
			selfListed = true
			answered++
			continue
		}
		if s.Now.Sub(m.LastAnswer) <= memberSilentAfter {
			answered++
			continue
		}
		add(AlarmMemberSilent, "%s in zone %s was last heard %s ago", m.ID, m.Zone, formatAge(s.Now, m.LastAnswer))
	}
	if 2*answered <= len(s.Members) {
		add(AlarmMajoritySilent, "%s hears %d of %d members", s.Instance, answered, len(s.Members))
	}
	if !selfListed {
		add(AlarmNotMember, "%s is not in the member list", s.Instance)
	}
}

// upstreamAlarms reports at most one alarm for each upstream.
func (s Status) upstreamAlarms(add addAlarmFunc) {
	for _, u := range s.Upstreams {
		switch {
		case u.State == "lost":
			add(AlarmUpstreamLost, "%s of %s in zone %s", u.ID, u.Service, u.Zone)
		case u.Dispatcher == "":
			add(AlarmNoDispatcher, "%s of %s in zone %s", u.ID, u.Service, u.Zone)
		case u.Known && u.Limit < u.Slots:
			add(AlarmUpstreamCold, "%s of %s takes %d of %d concurrent requests", u.ID, u.Service, u.Limit, u.Slots)
		}
	}
}

// formatAge returns the time from at to now, rounded to 100 ms.
func formatAge(now, at time.Time) string {
	if at.IsZero() {
		return "an unknown time"
	}
	return now.Sub(at).Round(100 * time.Millisecond).String()
}
