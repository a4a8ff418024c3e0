package direct

import (
	"time"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// The share of an instance in the demand for an account is the demand that it has reported,
// divided by the leader's sum of all reports. The sum states which report of the instance it
// contains. With a later one the shares of all instances added up to 1.7 while the demand of an
// account rose to 15 times within a second.

// demandSum is the sum of the demand that instances have reported to the leader.
type demandSum struct {
	rates   map[fleet.AccountID]float64 // requests/s; nil until known
	reports map[fleet.InstanceID]uint64 // numbers of the reports that rates contains
}

// demandReports contains the demand in the last reports of an instance, by their numbers.
type demandReports struct {
	seq   uint64 // number of the last one; 0: there is none
	bySeq map[uint64]map[fleet.AccountID]float64
}

// maxDemandReports bounds the reports that are remembered while the leader does not reply.
const maxDemandReports = 8

// add records a report and returns its number.
func (d *demandReports) add(demand map[fleet.AccountID]float64) uint64 {
	if d.bySeq == nil {
		d.bySeq = make(map[uint64]map[fleet.AccountID]float64)
	}
	d.seq++
	d.bySeq[d.seq] = demand
	if d.seq > maxDemandReports {
		delete(d.bySeq, d.seq-maxDemandReports)
	}
	return d.seq
}

// get returns the demand in the report with a number, or false if it is not remembered. Number
// 0, of a leader of an earlier version of the program, stands for the last report.
func (d *demandReports) get(seq uint64) (map[fleet.AccountID]float64, bool) {
	if seq == 0 {
		seq = d.seq
	}
	demand, ok := d.bySeq[seq]
	return demand, ok
}

// learnDemand updates this instance's shares of the limits from the leader's sum, which
// contains its report with number seq. The caller must hold mu.
func (r *Router) learnDemand(now time.Time, total map[fleet.AccountID]float64, seq uint64) {
	if own, ok := r.demandReports.get(seq); ok {
		r.accounts.divided.Learn(now, total, own, r.instanceCount())
	}
}

// minDemandShare is the share of the instances that must have reported their demand to
// a new leader before it sends the sum.
const minDemandShare = 0.9

// sumDemand adds up the reported demand. It runs with each plan and not with each
// report, where its cost would grow with the square of the number of instances. For up
// to fleetSettleTime, the sum is withheld until minDemandShare of the instances have
// reported: from a sum that lacks most instances, the others would overestimate their
// own shares of the demand, and admit too many requests.
func (r *Router) sumDemand(now time.Time, l *leadership) {
	reporting := 0
	for _, m := range l.members {
		if m.demand != nil {
			reporting++
		}
	}
	r.mu.Lock()
	known := float64(reporting) >= minDemandShare*float64(len(r.instances))
	r.mu.Unlock()
	if !known && now.Sub(l.startedAt) < fleetSettleTime {
		return
	}
	total := demandSum{rates: make(map[fleet.AccountID]float64), reports: make(map[fleet.InstanceID]uint64, len(l.members))}
	for instance, m := range l.members {
		for id, d := range m.demand {
			total.rates[id] += d
		}
		if m.demand != nil {
			total.reports[instance] = m.demandSeq
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totalDemand = total
	r.learnDemand(now, total.rates, total.reports[r.cfg.Instance])
}
