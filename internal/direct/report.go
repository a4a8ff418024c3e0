package direct

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/admission"
	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/internal/rollout"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	reportPath = "/reports"
	// minLongPollWait is how long a leader holds a report without answering while it
	// has no updates; demand is exchanged at this interval. The wait grows with the
	// number of instances above smallFleetSize, up to maxLongPollWait: a leader of 70
	// instances with 0.16 of a CPU core could not keep up with a report from each
	// instance every 300 ms.
	minLongPollWait = 300 * time.Millisecond
	maxLongPollWait = 700 * time.Millisecond
	// smallFleetSize is the number of instances up to which the leader can handle a
	// report from each every minLongPollWait, so that any instance can lead.
	smallFleetSize = 12
	// demandIntervalShare is the share of the long-poll wait within which demand is
	// reported at most once. Reports whose wait was cut short by updates follow each
	// other within about 100 ms, in which demand, averaged over a second, hardly
	// changes.
	demandIntervalShare = 0.9
	// replyTimeoutMargin is added to the long-poll wait to get the timeout of a report,
	// leaderSilenceMargin to get the silence after which an instance looks for another
	// leader.
	replyTimeoutMargin  = 400 * time.Millisecond
	leaderSilenceMargin = 500 * time.Millisecond
	peerDialTimeout     = 300 * time.Millisecond
	peerIdleTimeout     = 10 * time.Second
	maxPeerBody         = 1 << 20 // bytes
	// maxPeerBodies is the memory in bytes of the bodies of all requests of other instances,
	// beside the first 64 KiB of each, which have maxSmallPeerBodies. A report has some tens
	// of KiB, and the leader keeps those of all instances while it holds them.
	maxPeerBodies      = 32 << 20
	maxSmallPeerBodies = 8 << 20
	// maxReportedKeys bounds the keys in a report for each service. At the design rate,
	// an instance receives fewer requests to a service between two reports.
	maxReportedKeys = 2000
	// memberTimeout is the time without reports after which a leader removes an
	// instance.
	memberTimeout = 4 * time.Second
)

// longPollWait returns how long a leader of n instances holds a report while it has no
// updates.
func longPollWait(n int) time.Duration {
	return min(max(minLongPollWait, minLongPollWait*time.Duration(n)/smallFleetSize), maxLongPollWait)
}

// currentLongPollWait returns longPollWait for the number of known instances.
func (r *Router) currentLongPollWait() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return longPollWait(len(r.instances))
}

// report is the message that an instance sends to the leader.
type report struct {
	Instance      fleet.InstanceID
	Addr          string                               // where other instances reach the sender
	MapVersion    keyspace.MapVersion                  // version of the sender's holder map
	Keys          map[fleet.ServiceID][]keyspace.Key   // requested by callers since the last report
	Demand        map[fleet.AccountID]float64          // requests/s; nil if reported recently
	DemandSeq     uint64                               // number of the sender's report with this Demand
	ServiceTimes  map[fleet.UpstreamID]balance.Samples // without their curves
	Curves        map[fleet.UpstreamID]balance.LoadCurve
	InFlightSeq   uint64          // last version of this leader's limits in flight that the sender has
	StoreAge      time.Duration   // time since the sender's last successful store call
	InstancesHash uint64          // fingerprint of the instances that the sender knows
	ListTerm      fleet.Revision  // term of the leader that sent the sender's list of upstreams
	ListSeq       uint64          // version of this list
	OperatorSeq   uint64          // last version of the operator state received from this leader
	OperatorTag   string          // tag of the sender's operator state
	Restorations  uint64          // number in the last reply of this leader
	Acknowledged  acknowledgement // of the last reply of this leader
	FormerAge     time.Duration   // time since the last reply of an earlier leader, or the sender's start if that is later
	LimitSeq      uint64          // last version of this leader's limits of upstreams that the sender has
	// Leaving and Limits are from answers of upstreams to the sender: the upstreams that
	// leave, and the limits. The leader answers a report with either at once.
	Leaving []balance.Run
	Limits  []balance.RunLimit
	// Admission has the requests since the last report.
	Admission admission.Report
	// HolderLoads are loads that holders have stated to the sender.
	HolderLoads []reportedLoad
	// Rollouts is what the sender has observed of roll-outs, RolloutSeq the version of this
	// leader's directives that it applies.
	Rollouts   []rollout.Evidence
	RolloutSeq uint64
	// Urgent states that the report was sent because a holder is full, or because of a bad
	// response of a new version. The leader answers it at once.
	Urgent bool
}

// reply is the leader's answer to a report.
type reply struct {
	Term fleet.Revision
	// SentAt is the time of the reply on the clock of the leader. An instance repeats it in its
	// reports.
	SentAt time.Duration
	// Held is the time between the arrival of the report and the reply, negative if it is
	// not stated.
	Held time.Duration
	// Restorations is the number of restorations of the store that the leader has learned
	// of. An instance repeats it in its reports, which shows that it still follows.
	Restorations uint64
	// MapVersion is 0 if the instance has the current holder map. Else MapSpans holds
	// the changes from the instance's map, or the whole map if WholeMap is set.
	MapVersion keyspace.MapVersion
	WholeMap   bool
	MapSpans   map[fleet.ServiceID][]keyspace.HeldSpan
	Members    []fleet.Peer                // empty if unchanged
	Demand     map[fleet.AccountID]float64 // requests/s of all instances; nil if the report has none, or the sum is unknown
	DemandSeq  uint64                      // number of the instance's report that Demand contains; 0: not stated
	List       listDelta
	Limits     []balance.RunLimit // of upstreams; those that have changed since the sender's version
	LimitSeq   uint64             // version of the leader's limits
	Admission  admission.Shares   // of services and holders that are short of capacity
	InFlight   inFlightReply
	// The leader's operator state, and the time since the leader knew it to be current.
	OperatorTag string
	OperatorSeq uint64 // version of the operator state, counted by this leader
	OperatorAge time.Duration
	// The parts that differ from the instance's operator state.
	Source           []byte // encoded configuration; empty if the instance has it
	Evacuated        []fleet.ZoneID
	OperatorRevision fleet.Revision
	Holders          holderUpdate
	Orders           map[fleet.ServiceID]rollout.Order
	// Rollouts are the leader's directives, nil if it does not know them yet.
	Rollouts   []rollout.Directive
	RolloutSeq uint64 // version of the directives
}

// collectReport returns a report of what was observed since the last one.
func (r *Router) collectReport(now time.Time) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.emptyReport(now)
	r.addHolderReport(now, &rep)
	if now.Sub(r.demandReportedAt) >= time.Duration(demandIntervalShare*float64(longPollWait(len(r.instances)))) {
		rep.Demand, r.demandReportedAt = r.accounts.divided.Demand(now), now
		rep.DemandSeq = r.demandReports.add(rep.Demand)
	}
	r.addAdmission(now, &rep)
	r.takeSamples(&rep)
	return rep
}

// emptyReport returns a report that states only what this instance has. The caller must
// hold mu.
func (r *Router) emptyReport(now time.Time) report {
	rep := report{
		Instance: r.cfg.Instance, Addr: r.cfg.PeerListen, StoreAge: r.storeAge(now), InstancesHash: fingerprint(r.instances),
		ListTerm: r.listReplica.term, ListSeq: r.listReplica.seq, OperatorSeq: r.operatorSeqReceived, OperatorTag: r.operatorState.Load().Tag(),
		Restorations: r.leaderRestorations, Acknowledged: r.acknowledged, FormerAge: now.Sub(r.formerHeardAt), LimitSeq: r.limitSeqReceived, InFlightSeq: r.inFlightSeqReceived,
	}
	if m := r.holderMap.Load(); m != nil {
		rep.MapVersion = m.Version
	}
	r.addEvidence(now, &rep)
	return rep
}

// reportNews reports to the leader each upstream whose answers state that it leaves or that
// its limit has changed, immediately: the regular report may wait at the leader. It reports
// all of them to each new leader.
func (r *Router) reportNews(ctx context.Context) {
	reported, reportedLimits := make(map[balance.Run]bool), make(map[balance.Run]uint64)
	for ctx.Err() == nil {
		now := time.Now()
		r.mu.Lock()
		said, info, rep := r.newsReady, r.leader, r.emptyReport(now)
		runs := r.upstreams.RunsLeaving()
		next := maps.Clone(reportedLimits)
		rep.Limits = r.ownLimits(now, next)
		if r.holderLoads.takeUrgent() {
			rep.Urgent = true
			r.addHolderReport(now, &rep)
		}
		if r.urgentEvidence {
			rep.Urgent, r.urgentEvidence = true, false
		}
		r.mu.Unlock()
		maps.DeleteFunc(reported, func(run balance.Run, _ bool) bool { return !slices.Contains(runs, run) })
		for _, run := range runs {
			if !reported[run] {
				rep.Leaving = append(rep.Leaving, run)
			}
		}
		if len(rep.Leaving)+len(rep.Limits) > 0 || rep.Urgent {
			if err := r.sendNews(ctx, info.addr, rep); err != nil {
				r.log.Debug("reporting news of upstreams failed", "leader", info.id, "error", err)
				sleep(ctx, storeRetryDelay)
				continue
			}
			reportedLimits = next
			for _, run := range rep.Leaving {
				reported[run] = true
			}
		}
		select {
		case <-said:
			sleep(ctx, newsInterval-time.Since(now))
		case <-ctx.Done():
		}
	}
}

// sendNews sends a report of leaving and limited upstreams. The reply is not applied, since
// it may overtake that to the regular report.
func (r *Router) sendNews(ctx context.Context, addr string, rep report) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeoutMargin)
	defer cancel()
	res, err := r.peers.Do(ctx, addr, &http1.Request{Method: http.MethodPost, Target: reportPath, Body: rep.encode()}, nil)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return errors.Errorf("report of news: status %d", res.Status)
	}
	return nil
}

// follow sends reports to the leader until it stops answering or does not lead any
// longer.
func (r *Router) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.reportNews(ctx) })
	defer wg.Wait()
	defer cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		info := r.leader
		r.mu.Unlock()
		if r.laterLeaderAnnounced() {
			return
		}
		if time.Since(info.heardAt) > r.currentLongPollWait()+leaderSilenceMargin {
			r.log.Warn("leader stopped answering", "leader", info.id, "term", info.term)
			return
		}
		if err := r.report(ctx, info); err != nil {
			r.log.Debug("reporting to the leader failed", "leader", info.id, "error", err)
			sleep(ctx, storeRetryDelay)
			var notLeader notLeaderError
			if errors.As(err, &notLeader) {
				return
			}
		}
	}
}

// notLeaderError reports that an instance that got a report is not the leader.
type notLeaderError struct{ id fleet.InstanceID }

func (e notLeaderError) Error() string { return "instance " + string(e.id) + " is not the leader" }

// report sends one report to the leader and applies the reply.
func (r *Router) report(ctx context.Context, info leaderInfo) error {
	sentAt := time.Now()
	rep := r.collectReport(sentAt)
	ctx, cancel := context.WithTimeout(ctx, r.currentLongPollWait()+replyTimeoutMargin)
	defer cancel()
	res, err := r.peers.Do(ctx, info.addr, &http1.Request{Method: http.MethodPost, Target: reportPath, Body: rep.encode()}, nil)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return notLeaderError{info.id}
	}
	body, err := decompressReply(res)
	if err != nil {
		return err
	}
	rp, err := decodeReply(body)
	if err != nil {
		return err
	}
	if rp.Term.Era() == 0 { // sent by a version that does not state the era
		rp.Term = fleet.NewRevision(info.term.Era(), rp.Term.Number())
		rp.MapVersion.Term = rp.Term
	}
	if info.term < rp.Term { // elected again after a restoration of the store
		info.term, info.heardAt = rp.Term, time.Now()
		r.setLeader(info)
	}
	if rp.Term != info.term {
		return notLeaderError{info.id}
	}
	now := time.Now()
	r.applyReply(now, replyTime(now, sentAt, rp.Held), rep, rp)
	r.applyMap(rp)
	return nil
}

// replyTime returns the earliest time at which the leader may have made a reply that
// arrived at now, to a report sent at sentAt. Its content may be as old as that, since
// either message may have been delayed.
func replyTime(now, sentAt time.Time, held time.Duration) time.Time {
	if t := sentAt.Add(held); held >= 0 && t.Before(now) {
		return t
	}
	return now
}

// applyMap updates the holder map from a reply.
func (r *Router) applyMap(rp reply) {
	cur := r.holderMap.Load()
	switch {
	case rp.WholeMap:
		r.setHolderMap(&keyspace.Map{Version: rp.MapVersion, Services: rp.MapSpans})
	case cur != nil && rp.MapVersion.Seq > 0:
		r.setHolderMap(cur.With(rp.MapVersion, rp.MapSpans))
	}
}

// applyReply applies all of a reply but the holder map. repliedAt is the earliest time at
// which the leader may have made it.
func (r *Router) applyReply(now, repliedAt time.Time, rep report, rp reply) {
	listedAt := repliedAt.Add(-rp.List.Age)
	r.setInstances(rp.Members)
	r.mu.Lock()
	r.leader.heardAt, r.acknowledged = now, acknowledgement{rp.Term, rp.SentAt}
	r.learnAdmission(now, repliedAt, rp.Admission)
	r.learnDemand(now, rp.Demand, rp.DemandSeq)
	changed := rp.List.Seq != rep.ListSeq || rp.Term != rep.ListTerm || !r.listDue.IsZero() && !now.Before(r.listDue)
	var list []balance.Registration
	if changed {
		list = r.listReplica.apply(rp.Term, rp.List)
	}
	// The lists of one leader follow each other, whatever their ages: a delay of a reply
	// makes its list look newer than it is.
	sameLeader := rp.Term == rep.ListTerm && !r.listFromStore
	newer := sameLeader || listedAt.After(r.listedAt) // else the list in use may be newer than the leader's
	listedAt = latest(listedAt, r.listedAt)
	if newer && !changed && !r.listFromStore {
		r.setListedAt(listedAt)
	}
	r.listFromStore = r.listFromStore || changed && !newer // the list in use lacks the changes
	r.noteEra(now, rp.Term.Era())
	r.operatorSeqReceived, r.leaderRestorations, r.limitSeqReceived = rp.OperatorSeq, rp.Restorations, rp.LimitSeq
	r.inFlightSeqReceived = rp.InFlight.Seq
	r.upstreams.SetInFlightLimits(now, rp.InFlight.Limits)
	if rp.OperatorTag != "" && rp.OperatorTag == r.operatorState.Load().Tag() {
		r.operatorConfirmedAt = latest(r.operatorConfirmedAt, repliedAt.Add(-rp.OperatorAge))
	}
	fromStore := r.listFromStore
	r.applyHolderUpdate(repliedAt, rp.Holders)
	r.mu.Unlock()
	r.applyOperator(repliedAt, rp)
	defer func() { r.applyDirectives(now, repliedAt, rp.Rollouts, rp.RolloutSeq) }() // after the upstreams are listed
	defer r.mergeLimits(now, rp.Limits, "leader")                                    // after the upstreams are listed
	if newer && (changed || fromStore) {
		if !changed {
			list = r.listReplica.apply(rp.Term, rp.List)
		}
		r.setUpstreams(now, listedAt, list)
		r.mu.Lock()
		r.listFromStore = false
		r.mu.Unlock()
	}
}

// applyOperator applies the operator state in a reply, if there is one. It may be older
// than the state of this instance.
func (r *Router) applyOperator(repliedAt time.Time, rp reply) {
	if rp.OperatorRevision == 0 {
		return
	}
	next := OperatorState{Evacuated: make(map[fleet.ZoneID]bool), Revision: rp.OperatorRevision, Orders: rp.Orders}
	for _, zone := range rp.Evacuated {
		next.Evacuated[zone] = true
	}
	if cur := r.operatorState.Load(); cur != nil {
		next.Table, next.Source = cur.Table, cur.Source
	}
	if len(rp.Source) > 0 {
		table, err := r.platform.DecodeConfiguration(rp.Source)
		if err != nil {
			r.log.Warn("decoding the configuration from the leader failed", "error", err)
			r.requestOperatorRead()
			return
		}
		next.Table, next.Source = table, rp.Source
	}
	r.setOperatorState(repliedAt.Add(-rp.OperatorAge), next)
}

// servePeer serves the requests of other instances: reports, queries for the leader and
// requests for tokens.
func (r *Router) servePeer(w http.ResponseWriter, req *http.Request) {
	receivedAt := time.Now()
	body, err := io.ReadAll(req.Body)
	switch req.URL.Path {
	case leaderPath:
		if req.Method == http.MethodPost {
			r.serveAnnouncement(w, body)
			return
		}
		r.serveLeader(w)
		return
	case tokensPath:
		r.serveToken(w, req, body)
		return
	case upstreamTokensPath:
		r.serveUpstreamToken(w, body)
		return
	}
	if err != nil || req.URL.Path != reportPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rep, err := decodeReport(body)
	if err != nil {
		r.log.Warn("decoding a report failed", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	l := r.leadership
	r.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusConflict)
		return
	}
	changed := r.nextUpdate()
	select {
	case l.reports <- rep:
	case <-l.stop:
	}
	if len(rep.Leaving)+len(rep.Limits) == 0 && !rep.Urgent && !r.hasUpdate(l, rep) {
		t := time.NewTimer(r.currentLongPollWait())
		select {
		case <-changed:
		case <-t.C:
		case <-l.stop:
		}
		t.Stop()
	}
	held := time.Since(receivedAt)
	rp := r.reply(l, rep)
	rp.Held = held
	if _, err := w.Write(compressReply(w.Header(), rp.encode())); err != nil {
		r.log.Debug("sending the reply to a report failed", "instance", rep.Instance, "error", err)
	}
}

// hasUpdate reports whether the leader has state that the sender of rep lacks.
func (r *Router) hasUpdate(l *leadership, rep report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.holderMap.Load(); m != nil && m.Version.Term == l.term && rep.MapVersion.Less(m.Version) {
		return true
	}
	if rep.OperatorSeq != r.operatorSeq || rep.Restorations != l.restorations {
		return true
	}
	if r.directives != nil && rep.RolloutSeq > 0 && rep.RolloutSeq != r.directivesSeq {
		return true
	}
	return rep.ListTerm != l.term || rep.ListSeq != r.leaderList.seq
}

// reply returns the reply to rep, with the state that its sender lacks.
func (r *Router) reply(l *leadership, rep report) reply {
	now := time.Now()
	var rp reply
	op := r.operatorState.Load()
	rp.OperatorTag = op.Tag()
	if op != nil && op.Table != nil && rep.OperatorTag != rp.OperatorTag {
		rp.OperatorRevision, rp.Evacuated, rp.Orders = op.Revision, slices.Sorted(maps.Keys(op.Evacuated)), op.Orders
		if !sameConfiguration(rep.OperatorTag, rp.OperatorTag) {
			rp.Source = op.Source
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rp.Term, rp.OperatorSeq, rp.Restorations = l.term, r.operatorSeq, l.restorations
	rp.SentAt = bootClock()
	// The receiver takes the map for one of this term.
	if m := r.holderMap.Load(); m != nil && m.Version.Term == l.term && rep.MapVersion.Less(m.Version) {
		rp.MapVersion = m.Version
		if old := r.recentMaps[rep.MapVersion]; old != nil {
			rp.MapSpans = m.Diff(old)
		} else {
			rp.MapSpans, rp.WholeMap = m.Services, true
		}
	}
	if rep.InstancesHash != fingerprint(r.instances) {
		rp.Members = r.instances
	}
	if rep.Demand != nil {
		// Sent as often as the instance reports its own, once the sum contains that.
		if seq, contained := r.totalDemand.reports[rep.Instance]; contained {
			rp.Demand, rp.DemandSeq = r.totalDemand.rates, seq
		}
	}
	rp.OperatorAge = now.Sub(r.operatorConfirmedAt)
	rp.Rollouts, rp.RolloutSeq = r.directives, r.directivesSeq
	if rep.ListTerm != l.term {
		rep.ListSeq = 0
	}
	rp.List = r.leaderList.changesSince(now, rep.ListSeq)
	rp.List.Age = now.Sub(r.listedAt)
	if rep.ListTerm != l.term {
		rep.LimitSeq, rep.InFlightSeq = 0, 0
	}
	rp.Limits, rp.LimitSeq = r.limitsSince(now, rep.LimitSeq)
	rp.Admission = r.sharesInForce(now, l)
	rp.InFlight.Limits, rp.InFlight.Seq = l.inFlight.Since(r.upstreams, rep.InFlightSeq)
	rp.Holders = r.holderUpdate(now)
	return rp
}

// applyReport adds a report to the leader's state.
func (r *Router) applyReport(now time.Time, l *leadership, rep report) {
	former, reported := l.members[rep.Instance]
	m := member{addr: rep.Addr, heardAt: now, demand: rep.Demand, demandSeq: rep.DemandSeq, storeAge: rep.StoreAge, restorations: rep.Restorations}
	if rep.Demand == nil {
		m.demand, m.demandSeq = former.demand, former.demandSeq
	}
	l.members[rep.Instance] = m
	r.noteSupport(now, l, rep)
	if reported {
		l.countKeys(rep)
	}
	r.learnLeaving(now, l, rep)
	r.observeAdmission(now, l, rep)
	mergeEvidence(l, rep)
	if rep.Instance != r.cfg.Instance {
		r.mergeLimits(now, rep.Limits, "report of "+string(rep.Instance))
	}
	r.mu.Lock()
	r.learnCapacities(now, l, rep)
	if rep.Instance != r.cfg.Instance {
		r.holderLoads.merge(now, rep.HolderLoads)
	}
	r.mu.Unlock()
}

// learnLeaving records the leaving upstreams of a report, and lets the next step of the
// leader move their keys.
func (r *Router) learnLeaving(now time.Time, l *leadership, rep report) {
	for _, run := range rep.Leaving {
		r.mu.Lock()
		upstream := r.upstreams.GetRun(run)
		r.mu.Unlock()
		if upstream != nil {
			r.noteLeaving(now, upstream, "", "report of "+string(rep.Instance))
			l.planDue = now
		}
	}
}
