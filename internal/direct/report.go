package direct

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const (
	reportPath = "/reports"
	// reportWait is how long a leader keeps a report unanswered while it has no news;
	// it is the pace at which demand is shared. It grows with the number of instances
	// above paceInstances, up to maxReportWait: a leader of 70 instances on 0.16 of a
	// core did not keep up with a report from each every 300 ms.
	reportWait    = 300 * time.Millisecond
	maxReportWait = 700 * time.Millisecond
	paceInstances = 12
	// demandPace is the part of the pace within which demand is told once. Reports that
	// news have cut short follow each other within some 100 ms, in which demand, averaged
	// over a second, hardly changes.
	demandPace = 0.9
	// replyMargin is how much longer than that a reply may take before it is given up,
	// and silenceMargin before the instance looks for another leader.
	replyMargin     = 400 * time.Millisecond
	silenceMargin   = 500 * time.Millisecond
	peerDialTimeout = 300 * time.Millisecond
	peerIdle        = 10 * time.Second
	maxPeerBody     = 1 << 20
	// maxReportedKeys bounds a report; at the design rate an instance sees fewer
	// requests to a service between two reports.
	maxReportedKeys = 2000
	// memberSilent is the time after which a leader forgets an instance.
	memberSilent = 4 * time.Second
)

// pace returns how long a leader of n instances keeps a report unanswered.
func pace(n int) time.Duration {
	return min(max(reportWait, reportWait*time.Duration(n)/paceInstances), maxReportWait)
}

// currentPace returns the pace for the instances that are known.
func (r *Router) currentPace() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return pace(len(r.instances))
}

// report is what an instance tells the leader.
type report struct {
	Instance    fleet.InstanceID
	Addr        string              // where other instances reach it
	Version     keyspace.MapVersion // of its map
	Keys        map[fleet.ServiceID][]keyspace.Key
	Demand      map[fleet.AccountID]float64          // nil if it was told within the pace
	Speeds      map[fleet.UpstreamID]balance.Samples // of sharded services
	StoreAge    time.Duration
	Instances   uint64 // fingerprint of those that it knows
	ListTerm    uint64 // of the leader whose list it has
	ListSeq     uint64 // of that list
	OperatorSeq uint64 // the last change of the operators' wishes that this leader told
	Operator    string // the tag of those that it knows
}

// reply is what the leader answers.
type reply struct {
	Term uint64
	// The map's version, 0 if the instance has it, and what the instance's map lacks:
	// everything if Whole.
	Version   keyspace.MapVersion
	Whole     bool
	Held      map[fleet.ServiceID][]keyspace.Held
	Instances []fleet.Peer                // empty if they have not changed
	Demand    map[fleet.AccountID]float64 // of all instances; nil if it was told within the pace
	List      listDelta
	// The operators' wishes as the leader knows them, and the time since it was told
	// that they have not changed.
	Operator    string
	OperatorSeq uint64 // counts their changes at this leader
	OperatorAge time.Duration
	// What the instance lacks of them.
	Source           []byte // the configuration, empty if the instance has it
	Evacuated        []fleet.ZoneID
	OperatorRevision fleet.Revision
}

// ownReport collects what happened since the last report.
func (r *Router) ownReport(now time.Time) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := report{Instance: r.cfg.Instance, Addr: r.cfg.PeerListen, Keys: r.asked, StoreAge: r.storeAge(now)}
	r.asked = make(map[fleet.ServiceID][]keyspace.Key)
	if now.Sub(r.demandReported) >= time.Duration(demandPace*float64(pace(len(r.instances)))) {
		rep.Demand, r.demandReported = r.quota.Demand(now), now
		r.ownDemand = rep.Demand
	}
	op := r.operator.Load()
	rep.Speeds = r.upstreams.TakeSamples(func(id fleet.ServiceID) bool {
		return op != nil && op.Table != nil && op.Table.Services[id].Sharded
	})
	rep.Instances = fingerprint(r.instances)
	rep.ListTerm, rep.ListSeq = r.followed.term, r.followed.seq
	rep.OperatorSeq, rep.Operator = r.operatorTold, op.Tag()
	if m := r.keys.Load(); m != nil {
		rep.Version = m.Version
	}
	return rep
}

// follow reports to the leader until it does not answer.
func (r *Router) follow(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		info := r.leader
		r.mu.Unlock()
		if time.Since(info.heard) > r.currentPace()+silenceMargin {
			r.log.Warn("leader is silent", "leader", info.id, "term", info.term)
			return
		}
		if err := r.report(ctx, info); err != nil {
			r.log.Debug("report not answered", "leader", info.id, "error", err)
			sleep(ctx, storePause)
			var gone notLeaderError
			if errors.As(err, &gone) {
				return
			}
		}
	}
}

// notLeaderError reports that an instance does not lead.
type notLeaderError struct{ id fleet.InstanceID }

func (e notLeaderError) Error() string { return "instance " + string(e.id) + " does not lead" }

func (r *Router) report(ctx context.Context, info leaderInfo) error {
	rep := r.ownReport(time.Now())
	ctx, cancel := context.WithTimeout(ctx, r.currentPace()+replyMargin)
	defer cancel()
	res, err := r.peers.Do(ctx, info.addr, &http1.Request{Method: http.MethodPost, Target: reportPath, Body: rep.encode()}, nil)
	if err != nil {
		return err
	}
	if res.Status != http.StatusOK {
		return notLeaderError{info.id}
	}
	body, err := unpack(res)
	if err != nil {
		return err
	}
	rp, err := decodeReply(body)
	if err != nil {
		return err
	}
	if rp.Term != info.term {
		return notLeaderError{info.id}
	}
	r.takeReply(time.Now(), rep, rp)
	r.takeMap(rp)
	return nil
}

// takeMap brings the map up to date with the leader's.
func (r *Router) takeMap(rp reply) {
	cur := r.keys.Load()
	switch {
	case rp.Whole:
		r.setKeys(&keyspace.Map{Version: rp.Version, Services: rp.Held})
	case cur != nil && rp.Version.Seq > 0:
		r.setKeys(cur.With(rp.Version, rp.Held))
	}
}

// takeReply takes over what the leader knows.
func (r *Router) takeReply(now time.Time, rep report, rp reply) {
	asked := now.Add(-rp.List.Age)
	r.setInstances(rp.Instances)
	r.mu.Lock()
	r.leader.heard = now
	r.quota.Learn(now, rp.Demand, r.ownDemand, r.instanceCount())
	changed := rp.List.Seq != rep.ListSeq || rp.Term != rep.ListTerm
	var list []balance.Registration
	if changed {
		list = r.followed.apply(rp.Term, rp.List)
	}
	current := asked.After(r.listed) // else the instance has read a newer list itself
	if current && !changed && !r.ownList {
		r.setListed(asked)
	}
	r.operatorTold = rp.OperatorSeq
	if rp.Operator != "" && rp.Operator == r.operator.Load().Tag() {
		r.operatorChecked = later(r.operatorChecked, now.Add(-rp.OperatorAge))
	}
	own := r.ownList
	r.mu.Unlock()
	r.takeOperator(now, rp)
	if current && (changed || own) {
		if !changed {
			list = r.followed.apply(rp.Term, rp.List)
		}
		r.setUpstreams(now, asked, list)
		r.mu.Lock()
		r.ownList = false
		r.mu.Unlock()
	}
}

// takeOperator takes over the operators' wishes as the leader knows them, if it told
// them. The leader may know less than this instance.
func (r *Router) takeOperator(now time.Time, rp reply) {
	if rp.OperatorRevision == 0 {
		return
	}
	next := Operator{Evacuated: make(map[fleet.ZoneID]bool), Revision: rp.OperatorRevision}
	for _, zone := range rp.Evacuated {
		next.Evacuated[zone] = true
	}
	if cur := r.operator.Load(); cur != nil {
		next.Table, next.Source = cur.Table, cur.Source
	}
	if len(rp.Source) > 0 {
		table, err := r.out.Configuration(rp.Source)
		if err != nil {
			r.log.Warn("configuration told by the leader not understood", "error", err)
			r.readOperatorNow()
			return
		}
		next.Table, next.Source = table, rp.Source
	}
	r.setOperator(now.Add(-rp.OperatorAge), next)
}

// servePeer answers the reports of other instances.
func (r *Router) servePeer(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	switch req.URL.Path {
	case leaderPath:
		r.tellLeader(w)
		return
	case tokensPath:
		r.giveToken(w, req)
		return
	}
	if err != nil || req.URL.Path != reportPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rep, err := decodeReport(body)
	if err != nil {
		r.log.Warn("report not understood", "error", err)
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
	changed := r.newsSoon()
	select {
	case l.reports <- rep:
	case <-l.stop:
	}
	if !r.hasNews(l, rep) {
		t := time.NewTimer(r.currentPace())
		select {
		case <-changed:
		case <-t.C:
		case <-l.stop:
		}
		t.Stop()
	}
	rp := r.reply(l, rep)
	if _, err := w.Write(pack(w.Header(), rp.encode())); err != nil {
		r.log.Debug("reply not delivered", "instance", rep.Instance, "error", err)
	}
}

// hasNews reports whether the leader knows something that the sender of rep does
// not.
func (r *Router) hasNews(l *leadership, rep report) bool {
	if m := r.keys.Load(); m != nil && rep.Version.Less(m.Version) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep.OperatorSeq != r.operatorSeq {
		return true
	}
	return rep.ListTerm != l.term || rep.ListSeq != r.shared.seq
}

func (r *Router) reply(l *leadership, rep report) reply {
	now := time.Now()
	rp := reply{Term: l.term}
	op := r.operator.Load()
	rp.Operator = op.Tag()
	if op != nil && op.Table != nil && rep.Operator != rp.Operator {
		rp.OperatorRevision, rp.Evacuated = op.Revision, slices.Sorted(maps.Keys(op.Evacuated))
		if !sameConfiguration(rep.Operator, rp.Operator) {
			rp.Source = op.Source
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rp.OperatorSeq = r.operatorSeq
	if m := r.keys.Load(); m != nil && rep.Version.Less(m.Version) {
		rp.Version = m.Version
		if old := r.keysSent[rep.Version]; old != nil {
			rp.Held = m.Diff(old)
		} else {
			rp.Held, rp.Whole = m.Services, true
		}
	}
	if rep.Instances != fingerprint(r.instances) {
		rp.Instances = r.instances
	}
	if rep.Demand != nil {
		rp.Demand = r.totalDemand // told as often as it is reported; nil at first
	}
	rp.OperatorAge = now.Sub(r.operatorChecked)
	if rep.ListTerm != l.term {
		rep.ListSeq = 0
	}
	rp.List = r.shared.since(now, rep.ListSeq)
	rp.List.Age = now.Sub(r.listed)
	return rp
}

// takeReport adds a report to what the leader knows.
func (r *Router) takeReport(now time.Time, l *leadership, rep report) {
	demand := rep.Demand
	if demand == nil {
		demand = l.members[rep.Instance].demand
	}
	l.members[rep.Instance] = member{addr: rep.Addr, heard: now, demand: demand, storeAge: rep.StoreAge}
	for id, keys := range rep.Keys {
		h := l.owner.Heat(id)
		if h == nil {
			continue
		}
		for _, k := range keys {
			h.Add(k)
		}
	}
	r.mu.Lock()
	if rep.Instance != r.cfg.Instance {
		for id, s := range rep.Speeds {
			r.upstreams.LearnSamples(now, id, s)
		}
	}
	for id, s := range rep.Speeds {
		r.upstreams.CountAnswers(now, id, s)
	}
	r.mu.Unlock()
}

// demandKnown is the part of the instances that must have reported their demand to a
// new leader before it tells the sum.
const demandKnown = 0.9

// sumDemand adds up what the instances have reported. It runs with each plan: with each
// report its cost would grow with the square of the number of instances. A sum that
// lacks most of them would make the others take their own parts for larger than they
// are, and admit too much.
func (r *Router) sumDemand(now time.Time, l *leadership) {
	told := 0
	for _, m := range l.members {
		if m.demand != nil {
			told++
		}
	}
	r.mu.Lock()
	known := float64(told) >= demandKnown*float64(len(r.instances))
	r.mu.Unlock()
	if !known && now.Sub(l.began) < fleetSettles {
		return
	}
	total := make(map[fleet.AccountID]float64)
	for _, m := range l.members {
		for id, d := range m.demand {
			total[id] += d
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalDemand = total
	r.quota.Learn(now, total, r.ownDemand, r.instanceCount())
}
