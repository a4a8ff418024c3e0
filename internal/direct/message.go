package direct

import (
	"math"
	"slices"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func encodeDemand(e *jx.Encoder, demand map[fleet.AccountID]float64, seq uint64) {
	if demand == nil {
		return
	}
	e.FieldStart("demand")
	e.ObjStart()
	for id, rate := range demand {
		e.FieldStart(string(id))
		e.Float64(math.Round(rate*100) / 100)
	}
	e.ObjEnd()
	e.FieldStart("demand-seq")
	e.UInt64(seq)
}

func decodeDemand(d *jx.Decoder) (map[fleet.AccountID]float64, error) {
	out := make(map[fleet.AccountID]float64)
	err := d.Obj(func(d *jx.Decoder, id string) error {
		v, err := d.Float64()
		if err == nil && v < 0 {
			err = errors.Errorf("demand of account %q: want 0 or more, not %v", id, v)
		}
		out[fleet.AccountID(id)] = v
		return err
	})
	return out, err
}

func decodeServiceTimes(d *jx.Decoder) (map[fleet.UpstreamID]balance.Samples, error) {
	out := make(map[fleet.UpstreamID]balance.Samples)
	err := d.Obj(func(d *jx.Decoder, id string) error {
		var values []int
		err := d.Arr(func(d *jx.Decoder) error {
			v, err := d.Int()
			if err == nil && v < 0 {
				err = errors.Errorf("service times of upstream %q: want 0 or more, not %d", id, v)
			}
			values = append(values, v)
			return err
		})
		if err == nil && len(values) == 4 {
			out[fleet.UpstreamID(id)] = balance.Samples{Unqueued: values[0], UnqueuedSeconds: float64(values[1]) / 1000, Queued: values[2], Lost: values[3]}
		}
		return err
	})
	return out, err
}

// encodeRevision encodes the number and the era of a revision as two fields. Era 0 is
// omitted.
func encodeRevision(e *jx.Encoder, number, era string, r fleet.Revision) {
	e.FieldStart(number)
	e.UInt64(r.Number())
	if r.Era() > 0 {
		e.FieldStart(era)
		e.UInt64(uint64(r.Era()))
	}
}

// decodeNumber sets the number of r, and decodeEra its era.
func decodeNumber(d *jx.Decoder, r *fleet.Revision) error {
	n, err := d.UInt64()
	*r = fleet.NewRevision(r.Era(), n)
	return err
}

func decodeEra(d *jx.Decoder, r *fleet.Revision) error {
	n, err := d.UInt64()
	*r = fleet.NewRevision(fleet.Era(n), r.Number())
	return err
}

func encodeRestorations(e *jx.Encoder, n uint64) {
	if n > 0 {
		e.FieldStart("restorations")
		e.UInt64(n)
	}
}

// encodeRuns encodes runs of upstreams that leave, as lists of ID, boot and address.
func encodeRuns(e *jx.Encoder, runs []balance.Run) {
	e.FieldStart("leaving")
	e.ArrStart()
	for _, run := range runs {
		e.ArrStart()
		e.Str(string(run.ID))
		e.Str(string(run.Boot))
		e.Str(run.Addr)
		e.ArrEnd()
	}
	e.ArrEnd()
}

func decodeRuns(d *jx.Decoder) ([]balance.Run, error) {
	var runs []balance.Run
	err := d.Arr(func(d *jx.Decoder) error {
		var values []string
		if err := d.Arr(func(d *jx.Decoder) error {
			s, err := d.Str()
			values = append(values, s)
			return err
		}); err != nil {
			return err
		}
		if len(values) != 3 {
			return errors.Errorf("leaving upstream: want ID, boot and address, not %d values", len(values))
		}
		runs = append(runs, balance.Run{ID: fleet.UpstreamID(values[0]), Boot: fleet.BootID(values[1]), Addr: values[2]})
		return nil
	})
	return runs, err
}

func (r report) encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	e.FieldStart("instance")
	e.Str(string(r.Instance))
	e.FieldStart("addr")
	e.Str(r.Addr)
	encodeRevision(&e, "term", "era", r.MapVersion.Term)
	e.FieldStart("map")
	e.UInt64(r.MapVersion.Seq)
	e.FieldStart("store-age-ms")
	e.Int64(r.StoreAge.Milliseconds())
	e.FieldStart("instances")
	e.UInt64(r.InstancesHash)
	encodeRevision(&e, "list-term", "list-era", r.ListTerm)
	e.FieldStart("list")
	e.UInt64(r.ListSeq)
	e.FieldStart("operator-seq")
	e.UInt64(r.OperatorSeq)
	e.FieldStart("operator")
	e.Str(r.OperatorTag)
	r.Acknowledged.encode(&e)
	e.FieldStart("former-age-ms")
	e.Int64(max(0, r.FormerAge.Milliseconds()))
	encodeRestorations(&e, r.Restorations)
	encodeDemand(&e, r.Demand, r.DemandSeq)
	e.FieldStart("speeds")
	e.ObjStart()
	for id, s := range r.ServiceTimes { // [answers without a queue, sum of their times in ms, answers with a queue, lost requests]
		e.FieldStart(string(id))
		e.ArrStart()
		e.Int(s.Unqueued)
		e.Int(int(s.UnqueuedSeconds * 1000))
		e.Int(s.Queued)
		e.Int(s.Lost)
		e.ArrEnd()
	}
	e.ObjEnd()
	encodeCurves(&e, r.Curves)
	if r.InFlightSeq > 0 {
		e.FieldStart("in-flight-seq")
		e.UInt64(r.InFlightSeq)
	}
	e.FieldStart("limit-seq")
	e.UInt64(r.LimitSeq)
	if len(r.Leaving) > 0 {
		encodeRuns(&e, r.Leaving)
	}
	encodeRunLimits(&e, r.Limits)
	encodeAdmissionReport(&e, r.Admission)
	encodeReportedLoads(&e, "holder-loads", r.HolderLoads)
	if r.Urgent {
		e.FieldStart("urgent")
		e.Bool(true)
	}
	r.encodeRollouts(&e)
	e.FieldStart("keys")
	e.ObjStart()
	for id, keys := range r.Keys {
		e.FieldStart(string(id))
		e.ArrStart()
		for _, k := range keys {
			e.UInt64(uint64(k))
		}
		e.ArrEnd()
	}
	e.ObjEnd()
	e.ObjEnd()
	return e.Bytes()
}

func decodeReport(data []byte) (report, error) {
	r := report{Keys: make(map[fleet.ServiceID][]keyspace.Key)}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "instance":
			var s string
			s, err = d.Str()
			r.Instance = fleet.InstanceID(s)
		case "addr":
			r.Addr, err = d.Str()
		case "term":
			err = decodeNumber(d, &r.MapVersion.Term)
		case "era":
			err = decodeEra(d, &r.MapVersion.Term)
		case "map":
			r.MapVersion.Seq, err = d.UInt64()
		case "store-age-ms":
			r.StoreAge, err = decodeMillis(d)
		case "instances":
			r.InstancesHash, err = d.UInt64()
		case "list-term":
			err = decodeNumber(d, &r.ListTerm)
		case "list-era":
			err = decodeEra(d, &r.ListTerm)
		case "list":
			r.ListSeq, err = d.UInt64()
		case "operator-seq":
			r.OperatorSeq, err = d.UInt64()
		case "operator":
			r.OperatorTag, err = d.Str()
		case "acknowledged-term":
			err = decodeNumber(d, &r.Acknowledged.Term)
		case "acknowledged-era":
			err = decodeEra(d, &r.Acknowledged.Term)
		case "acknowledged-ms":
			r.Acknowledged.SentAt, err = decodeMillis(d)
		case "former-age-ms":
			r.FormerAge, err = decodeMillis(d)
		case "restorations":
			r.Restorations, err = d.UInt64()
		case "demand":
			r.Demand, err = decodeDemand(d)
		case "demand-seq":
			r.DemandSeq, err = d.UInt64()
		case "leaving":
			r.Leaving, err = decodeRuns(d)
		case "limit-seq":
			r.LimitSeq, err = d.UInt64()
		case "limits":
			r.Limits, err = decodeRunLimits(d)
		case "admission":
			r.Admission, err = decodeAdmissionReport(d)
		case "holder-loads":
			r.HolderLoads, err = decodeReportedLoads(d)
		case "urgent":
			r.Urgent, err = d.Bool()
		case "rollouts", "rollout-seq":
			err = r.decodeRollouts(d, field)
		case "speeds":
			r.ServiceTimes, err = decodeServiceTimes(d)
		case "curves":
			r.Curves, err = decodeCurves(d)
		case "in-flight-seq":
			r.InFlightSeq, err = d.UInt64()
		case "keys":
			err = d.Obj(func(d *jx.Decoder, id string) error {
				return d.Arr(func(d *jx.Decoder) error {
					k, err := d.UInt16()
					r.Keys[fleet.ServiceID(id)] = append(r.Keys[fleet.ServiceID(id)], keyspace.Key(k))
					return err
				})
			})
		default:
			err = d.Skip()
		}
		return err
	})
	if err == nil && r.Instance == "" {
		err = errors.New("report: instance ID is missing")
	}
	return r, err
}

func (r reply) encode() []byte {
	var e jx.Encoder
	e.ObjStart()
	encodeRevision(&e, "term", "era", r.Term)
	e.FieldStart("sent-ms")
	e.Int64(r.SentAt.Milliseconds())
	if r.Held >= 0 {
		e.FieldStart("held-ms")
		e.Int64(r.Held.Milliseconds())
	}
	encodeRestorations(&e, r.Restorations)
	if len(r.Members) > 0 {
		e.FieldStart("instances")
		fleet.EncodePeers(&e, r.Members)
	}
	encodeDemand(&e, r.Demand, r.DemandSeq)
	e.FieldStart("operator")
	e.Str(r.OperatorTag)
	e.FieldStart("operator-seq")
	e.UInt64(r.OperatorSeq)
	if r.OperatorRevision > 0 {
		encodeRevision(&e, "operator-revision", "operator-era", r.OperatorRevision)
		e.FieldStart("evacuated")
		e.ArrStart()
		for _, zone := range r.Evacuated {
			e.Str(string(zone))
		}
		e.ArrEnd()
	}
	if len(r.Source) > 0 {
		e.FieldStart("source")
		e.ByteStr(r.Source)
	}
	e.FieldStart("operator-age-ms")
	e.Int64(r.OperatorAge.Milliseconds())
	e.FieldStart("list")
	r.List.encode(&e)
	e.FieldStart("limit-seq")
	e.UInt64(r.LimitSeq)
	encodeRunLimits(&e, r.Limits)
	encodeShares(&e, r.Admission)
	encodeInFlight(&e, r.InFlight)
	r.Holders.encode(&e)
	r.encodeRollouts(&e)
	if r.MapVersion.Seq > 0 {
		e.FieldStart("map")
		r.encodeMap(&e)
	}
	e.ObjEnd()
	return e.Bytes()
}

// encodeMap encodes each span as three numbers: its first key, its last key and the
// index of its holder in the list "holders".
func (r reply) encodeMap(e *jx.Encoder) {
	e.ObjStart()
	e.FieldStart("seq")
	e.UInt64(r.MapVersion.Seq)
	e.FieldStart("whole")
	e.Bool(r.WholeMap)
	var holders []fleet.UpstreamID
	index := make(map[fleet.UpstreamID]int)
	e.FieldStart("services")
	e.ObjStart()
	for id, spans := range r.MapSpans {
		e.FieldStart(string(id))
		e.ArrStart()
		for _, h := range spans {
			if _, known := index[h.Holder]; !known {
				index[h.Holder] = len(holders)
				holders = append(holders, h.Holder)
			}
			e.UInt64(uint64(h.From))
			e.UInt64(uint64(h.To))
			e.Int(index[h.Holder])
		}
		e.ArrEnd()
	}
	e.ObjEnd()
	e.FieldStart("holders")
	e.ArrStart()
	for _, id := range holders {
		e.Str(string(id))
	}
	e.ArrEnd()
	e.ObjEnd()
}

func decodeReply(data []byte) (reply, error) {
	r := reply{Held: -1}
	err := jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "term":
			err = decodeNumber(d, &r.Term)
		case "era":
			err = decodeEra(d, &r.Term)
		case "sent-ms":
			r.SentAt, err = decodeMillis(d)
		case "held-ms":
			r.Held, err = decodeMillis(d)
		case "restorations":
			r.Restorations, err = d.UInt64()
		case "instances":
			r.Members, err = fleet.DecodePeers(d)
		case "demand":
			r.Demand, err = decodeDemand(d)
		case "demand-seq":
			r.DemandSeq, err = d.UInt64()
		case "operator":
			r.OperatorTag, err = d.Str()
		case "operator-seq":
			r.OperatorSeq, err = d.UInt64()
		case "operator-revision":
			err = decodeNumber(d, &r.OperatorRevision)
		case "operator-era":
			err = decodeEra(d, &r.OperatorRevision)
		case "evacuated":
			err = d.Arr(func(d *jx.Decoder) error {
				s, err := d.Str()
				r.Evacuated = append(r.Evacuated, fleet.ZoneID(s))
				return err
			})
		case "source":
			r.Source, err = d.StrBytes()
			r.Source = slices.Clone(r.Source)
		case "operator-age-ms":
			r.OperatorAge, err = decodeMillis(d)
		case "list":
			r.List, err = decodeListDelta(d)
		case "limit-seq":
			r.LimitSeq, err = d.UInt64()
		case "limits":
			r.Limits, err = decodeRunLimits(d)
		case "admission":
			r.Admission, err = decodeShares(d)
		case "in-flight":
			r.InFlight.Limits, err = decodeInFlight(d)
		case "in-flight-seq":
			r.InFlight.Seq, err = d.UInt64()
		case "holder-loads":
			r.Holders, err = decodeHolderUpdate(d)
		case "rollouts", "rollout-seq", "rollout-orders":
			err = r.decodeRollouts(d, field)
		case "map":
			err = r.decodeMap(d)
		default:
			err = d.Skip()
		}
		return err
	})
	r.MapVersion.Term = r.Term
	return r, err
}

func (r *reply) decodeMap(d *jx.Decoder) error {
	var holders []fleet.UpstreamID
	spans := make(map[fleet.ServiceID][]int)
	err := d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "seq":
			r.MapVersion.Seq, err = d.UInt64()
		case "whole":
			r.WholeMap, err = d.Bool()
		case "services":
			err = d.Obj(func(d *jx.Decoder, id string) error {
				return d.Arr(func(d *jx.Decoder) error {
					n, err := d.Int()
					spans[fleet.ServiceID(id)] = append(spans[fleet.ServiceID(id)], n)
					return err
				})
			})
		case "holders":
			err = d.Arr(func(d *jx.Decoder) error {
				s, err := d.Str()
				holders = append(holders, fleet.UpstreamID(s))
				return err
			})
		default:
			err = d.Skip()
		}
		return err
	})
	if err != nil {
		return err
	}
	r.MapSpans = make(map[fleet.ServiceID][]keyspace.HeldSpan)
	for id, n := range spans {
		for ; len(n) >= 3; n = n[3:] {
			if n[2] < 0 || n[2] >= len(holders) {
				return errors.Errorf("map: holder index %d out of range for %d holders", n[2], len(holders))
			}
			if n[0] < 0 || n[1] < n[0] || n[1] >= keyspace.Keys {
				return errors.Errorf("map: service %q: keys %d to %d are no span", id, n[0], n[1])
			}
			r.MapSpans[id] = append(r.MapSpans[id], keyspace.HeldSpan{Span: keyspace.Span{From: keyspace.Key(n[0]), To: keyspace.Key(n[1])}, Holder: holders[n[2]]})
		}
		if err := checkSpans(r.MapSpans[id], r.WholeMap); err != nil {
			return errors.Wrapf(err, "map: service %q", id)
		}
	}
	return nil
}

// checkSpans returns an error unless spans are in order. whole states that they have to
// cover all keys.
func checkSpans(spans []keyspace.HeldSpan, whole bool) error {
	next := 0
	for _, h := range spans {
		if int(h.From) < next || whole && int(h.From) > next {
			return errors.Errorf("span from key %d, expected from %d", h.From, next)
		}
		next = int(h.To) + 1
	}
	if whole && next != keyspace.Keys {
		return errors.Errorf("spans end at key %d", next-1)
	}
	return nil
}
