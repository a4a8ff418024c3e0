package direct

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/balance"
	"github.com/parsleyproxy/parsleyproxy/internal/keyspace"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

var (
	loadedHolder   = &balance.Entry{Registration: balance.Registration{ID: "u", Boot: "1", Slots: 4}}
	holderRate     = balance.Capacity{Rate: 20}
	fullHolderLoad = &balance.Load{Running: 4, Waiting: 16, Slots: 4}
)

const holderTime = 200 * time.Millisecond // service time

func testHolderLoads() *holderLoads {
	h := newHolderLoads(rand.New(rand.NewPCG(1, 2)))
	return &h
}

// keyRequest returns a request that arrives at now with the given time until its deadline.
func keyRequest(now time.Time, left time.Duration) holderRequest {
	return holderRequest{receivedAt: now, deadline: now.Add(left), queueShare: 1}
}

// Guards against requests that are sent into a queue that is known to be full, and against
// an instance that never sends again to a holder because it gets no answers from it.
func TestFullHolderGetsNothingUntilItHasRoom(t *testing.T) {
	now := time.Now()
	seen, received := testHolderLoads(), testHolderLoads()
	seen.note(now, loadedHolder, fullHolderLoad)
	received.merge(now, seen.takeReport(now))
	if again := seen.takeReport(now); len(again) > 0 {
		t.Errorf("reported again: %v", again)
	}
	for name, h := range map[string]*holderLoads{"seen": seen, "received": received} {
		verdict, retryAfter := h.decide(now, keyRequest(now, time.Second), loadedHolder, holderRate, holderTime)
		if verdict != longQueue {
			t.Fatalf("%s: verdict %d at a full holder", name, verdict)
		}
		later := now.Add(retryAfter) // the 17 requests before it take 0.85 s
		if verdict, _ := h.decide(later, keyRequest(later, time.Second), loadedHolder, holderRate, holderTime); verdict != sendToHolder || retryAfter > 500*time.Millisecond {
			t.Errorf("%s: verdict %d after the retry delay of %v", name, verdict, retryAfter)
		}
		restarted := *loadedHolder
		restarted.Boot = "2"
		if verdict, _ := h.decide(now, keyRequest(now, time.Second), &restarted, holderRate, holderTime); verdict != sendToHolder {
			t.Errorf("%s: verdict %d at the next run of the holder", name, verdict)
		}
	}
}

// Guards against an older report that replaces newer.
func TestNewestHolderLoadWins(t *testing.T) {
	now := time.Now()
	h := testHolderLoads()
	h.note(now, loadedHolder, fullHolderLoad)
	h.merge(now.Add(10*time.Millisecond), []reportedLoad{{ID: "u", Boot: "1", Requests: 1, Age: 500 * time.Millisecond}})
	if got := h.wait(now, loadedHolder, holderRate); got < 800*time.Millisecond {
		t.Errorf("expected wait %v after an older report, want 0.85 s", got)
	}
	h.merge(now.Add(100*time.Millisecond), []reportedLoad{{ID: "u", Boot: "1", Requests: 1}})
	if got := h.wait(now.Add(100*time.Millisecond), loadedHolder, holderRate); got > 0 {
		t.Errorf("expected wait %v after a newer report, want none", got)
	}
}

// Guards against requests that are begun although they cannot end in time, and against the
// refusal of short but sufficient times.
func TestRequestWithTooLittleTimeIsNotSent(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		left     time.Duration
		repeated bool
		queued   bool
		want     holderVerdict
	}{
		"first, idle holder":             {left: 150 * time.Millisecond, want: sendToHolder},
		"first, idle holder, no time":    {left: 50 * time.Millisecond, want: tooLittleTime},
		"repeated, idle holder":          {left: 150 * time.Millisecond, repeated: true, want: tooLittleTime},
		"repeated, time enough":          {left: 250 * time.Millisecond, repeated: true, want: sendToHolder},
		"first, queue longer than left":  {left: 400 * time.Millisecond, queued: true, want: longQueue},
		"first, queue shorter than left": {left: 900 * time.Millisecond, queued: true, want: sendToHolder},
	} {
		h := testHolderLoads()
		if tc.queued {
			h.note(now, loadedHolder, &balance.Load{Running: 4, Waiting: 4, Slots: 4}) // 0.25 s
		}
		q := keyRequest(now, tc.left)
		q.repeated = tc.repeated
		if got, _ := h.decide(now, q, loadedHolder, holderRate, holderTime); got != tc.want {
			t.Errorf("%s: verdict %d, want %d", name, got, tc.want)
		}
	}
}

// Guards against a share of a hot key that instances with few requests admit unevenly, and
// against shares that stay after the leader has gone.
func TestShareOfHotKeyIsEven(t *testing.T) {
	const instances, requests = 80, 12
	now := time.Now()
	admitted := 0
	for i := range instances {
		h := newHolderLoads(rand.New(rand.NewPCG(uint64(i), 1)))
		for range requests {
			// Each reply of the leader replaces the shares.
			h.setHotKeys(now, 0, map[fleet.ServiceID][]keyspace.KeyShare{"s": {{Key: 7, Share: 0.1}}})
			if h.admitKey(now, "s", 7) {
				admitted++
			}
			if !h.admitKey(now, "s", 8) {
				t.Fatal("another key was refused")
			}
		}
		if late := now.Add(hotKeysTTL + time.Millisecond); !h.admitKey(late, "s", 7) {
			t.Fatal("a share without a reply of the leader was used")
		}
	}
	if want := instances * requests / 10; admitted < want*8/10 || admitted > want*12/10 {
		t.Errorf("%d of %d requests admitted, want about %d", admitted, instances*requests, want)
	}
}

// Guards against messages that differ when they have been encoded and decoded, against
// invalid ones that are accepted, and against more bytes than instances with little
// bandwidth can bear.
func TestHolderLoadMessages(t *testing.T) {
	news := holderUpdate{HotKeys: map[fleet.ServiceID][]keyspace.KeyShare{"lookups": {{Key: 0, Share: 0.125}, {Key: 65535, Share: 1}}}, Age: 40 * time.Millisecond}
	for i := range maxReportedHolders {
		news.Loads = append(news.Loads, reportedLoad{ID: fleet.UpstreamID(fmt.Sprintf("lookups-%03d", i)), Boot: "1700000000000", Requests: 20, Rate: 15.5, Age: 1200 * time.Millisecond})
	}
	rp := reply{Term: 1, Held: 0, Holders: news}
	got, err := decodeReply(rp.encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(news, got.Holders); diff != "" {
		t.Error(diff)
	}
	rep := report{Instance: "a", HolderLoads: news.Loads[:3], Urgent: true}
	gotReport, err := decodeReport(rep.encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(rep.HolderLoads, gotReport.HolderLoads); diff != "" || !gotReport.Urgent {
		t.Error(diff, gotReport.Urgent)
	}
	if size := len(rp.encode()) - len(reply{Term: 1}.encode()); size > 2048 {
		t.Errorf("%d bytes for %d holders", size, maxReportedHolders)
	}
	for _, text := range []string{
		`{"instance":"a","holder-loads":[["u","1",-3,0,0]]}`, `{"instance":"a","holder-loads":[["u","1",3]]}`, `{"instance":"a","holder-loads":[["","1",3,0,0]]}`,
	} {
		if _, err := decodeReport([]byte(text)); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
	for _, text := range []string{`{"holder-loads":{"hot-keys":{"s":[7,1001]}}}`, `{"holder-loads":{"hot-keys":{"s":[65536,1]}}}`} {
		if _, err := decodeReply([]byte(text)); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}

// Guards against urgent requests that find the queue of their holder filled by less urgent
// ones.
func TestLessUrgentRequestsAcceptShorterQueues(t *testing.T) {
	now := time.Now()
	sent := map[float64]bool{}
	for _, share := range []float64{1, 0.5} {
		h := testHolderLoads()
		h.note(now, loadedHolder, &balance.Load{Running: 4, Waiting: 10, Slots: 4, Slowdown: 1})
		q := keyRequest(now, time.Second)
		q.queueShare = share
		verdict, _ := h.decide(now, q, loadedHolder, holderRate, holderTime)
		sent[share] = verdict == sendToHolder
	}
	if diff := cmp.Diff(map[float64]bool{1: true, 0.5: false}, sent); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkHolderDecision measures the decision to send one request to the holder of its
// key, with all of 231 holders queued and 32 hot keys.
func BenchmarkHolderDecision(b *testing.B) {
	now := time.Now()
	r := &Router{rng: rand.New(rand.NewPCG(1, 2))}
	r.upstreams = balance.New("a", r.rng, func(fleet.ServiceID) (time.Duration, fleet.PerSecond) { return 0, 0 })
	r.holderLoads = newHolderLoads(r.rng)
	var list []balance.Registration
	for i := range 231 {
		list = append(list, balance.Registration{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Service: "s", Boot: "1", Slots: 4})
	}
	r.upstreams.Replace(now, list)
	var hot []keyspace.KeyShare
	for k := range 32 {
		hot = append(hot, keyspace.KeyShare{Key: keyspace.Key(k), Share: 0.1})
	}
	r.holderLoads.setHotKeys(now, 0, map[fleet.ServiceID][]keyspace.KeyShare{"s": hot})
	for _, it := range list {
		r.holderLoads.note(now, r.upstreams.Get(it.ID), fullHolderLoad)
	}
	for i := 0; b.Loop(); i++ {
		e := r.upstreams.Get(list[i%len(list)].ID)
		if !r.holderLoads.admitKey(now, "s", keyspace.Key(i%1000)) {
			continue
		}
		r.holderLoads.decide(now, keyRequest(now, 3*time.Second), e, r.upstreams.Capacity(now, e), seconds(r.upstreams.ServiceTime(now, e)))
	}
}
