package front

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func startTestStore(t *testing.T) *Store {
	t.Helper()
	s, err := StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// storeAnswer contains the fields of the store's answers that the tests check.
type storeAnswer struct {
	Status int `json:"-"`
	Era    int `json:"-"`
	Rev    int
	Lease  int
	Events []struct {
		Key     string
		Rev     int
		Deleted bool
	}
	CurrentRev int
}

// testClient opens a connection for each call, since it would repeat a call whose answer
// is lost on a connection that it has used before.
var testClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// callStore makes a call. The error is that of a call without an answer.
func callStore(s *Store, method, target, body string) (storeAnswer, error) {
	req, err := http.NewRequest(method, "http://"+s.Addr()+"/api/"+target, bytes.NewBufferString(body))
	if err != nil {
		return storeAnswer{}, err
	}
	res, err := testClient.Do(req)
	if err != nil {
		return storeAnswer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var a storeAnswer
	_ = json.NewDecoder(res.Body).Decode(&a) // an answer may have no body
	a.Status = res.StatusCode
	a.Era, err = strconv.Atoi(res.Header.Get(eraHeader))
	return a, err
}

// mustCall makes a call, which must be answered with status want.
func mustCall(t *testing.T, s *Store, want int, method, target, body string) storeAnswer {
	t.Helper()
	a, err := callStore(s, method, target, body)
	if err != nil {
		t.Fatalf("%s %s: %v", method, target, err)
	}
	if a.Status != want {
		t.Fatalf("%s %s: status %d, want %d", method, target, a.Status, want)
	}
	return a
}

// putBody returns the body of a transaction that writes a key of a given revision.
func putBody(key string, rev int, value string, lease int) string {
	return fmt.Sprintf(`{"expect":[{"key":%q,"rev":%d}],"writes":[{"key":%q,"value":%q,"lease":%d}],"remove":[]}`,
		key, rev, key, base64.StdEncoding.EncodeToString([]byte(value)), lease)
}

// Guards against a restored store that keeps a part of what was written since the copy,
// or that does not give out its revisions and lease ids again.
func TestRestoreGoesBackInOneStep(t *testing.T) {
	s := startTestStore(t)
	old := mustCall(t, s, 200, "POST", "kv-lease", `{"ttl_time":"10s"}`).Lease
	mustCall(t, s, 200, "POST", "kv-txn", putBody("a/leased", 0, "1", old))
	kept := mustCall(t, s, 200, "POST", "kv-txn", putBody("a/kept", 0, "1", 0)).Rev
	c := s.Copy()
	first := mustCall(t, s, 200, "POST", "kv-txn", putBody("a/kept", kept, "2", 0)).Rev
	lost := mustCall(t, s, 200, "POST", "kv-lease", `{"ttl_time":"10s"}`).Lease
	mustCall(t, s, 200, "POST", "kv-txn", putBody("a/new", 0, "1", lost))
	mustCall(t, s, 200, "DELETE", "kv-lease-end/"+strconv.Itoa(old), "")
	if _, exists := s.Value("a/leased"); exists {
		t.Fatal("the key of an ended lease exists")
	}
	for range 2 { // a copy can be used again
		s.Restore(c)
		if diff := cmp.Diff([]string{"1", "1", ""}, valuesOf(s, "a/kept", "a/leased", "a/new")); diff != "" {
			t.Error(diff)
		}
		mustCall(t, s, 404, "POST", "kv-keep/"+strconv.Itoa(lost), "")
		mustCall(t, s, 200, "POST", "kv-keep/"+strconv.Itoa(old), "")
		mustCall(t, s, 404, "POST", "kv-txn", putBody("a/new", 0, "1", lost))
		if again := mustCall(t, s, 200, "POST", "kv-txn", putBody("a/kept", kept, "3", 0)).Rev; again != first {
			t.Errorf("revision of the first write after the copy was %d, and is %d after the restoration", first, again)
		}
		if again := mustCall(t, s, 200, "POST", "kv-lease", `{"ttl_time":"10s"}`).Lease; again != lost {
			t.Errorf("lease id after the copy was %d, and is %d after the restoration", lost, again)
		}
	}
}

func valuesOf(s *Store, keys ...string) (values []string) {
	for _, key := range keys {
		v, _ := s.Value(key)
		values = append(values, v)
	}
	return values
}

// Guards against leases that run for their whole time again after a restoration, or that
// have expired by the age of the copy.
func TestRestoredLeasesKeepRemainingTime(t *testing.T) {
	const ttl, copiedAfter, restoredAfter, tolerance = 600 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond, 100 * time.Millisecond
	s := startTestStore(t)
	id := mustCall(t, s, 200, "POST", "kv-lease", fmt.Sprintf(`{"ttl_time":"%dms"}`, ttl.Milliseconds())).Lease
	mustCall(t, s, 200, "POST", "kv-txn", putBody("a/leased", 0, "1", id))
	time.Sleep(copiedAfter)
	c := s.Copy()
	time.Sleep(restoredAfter - copiedAfter)
	if _, exists := s.Value("a/leased"); exists {
		t.Fatalf("the key exists %v after the start of a lease of %v", restoredAfter, ttl)
	}
	s.Restore(c)
	restoredAt := time.Now()
	for time.Since(restoredAt) < ttl {
		if _, exists := s.Value("a/leased"); !exists {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	left := ttl - copiedAfter
	if d := time.Since(restoredAt); d < left-tolerance || d > left+tolerance {
		t.Errorf("the lease expired %v after the restoration, want about %v", d, left)
	}
}

// Guards against a watch that hangs on a revision that the store has lost, whether the
// watch begins before or after the restoration, and against one that does not end.
func TestWatchOfLostRevision(t *testing.T) {
	s := startTestStore(t)
	s.Put("a/1", "x")
	kept := mustCall(t, s, 200, "GET", "kv-range?prefix=a/", "").CurrentRev
	c := s.Copy()
	s.Put("a/2", "x")
	lost := mustCall(t, s, 200, "GET", "kv-range?prefix=a/", "").CurrentRev
	type outcome struct {
		storeAnswer
		err error
	}
	pending := make(map[int]chan outcome)
	for _, after := range []int{kept, lost} {
		ch := make(chan outcome, 1)
		pending[after] = ch
		go func() {
			a, err := callStore(s, "GET", fmt.Sprintf("kv-watch?prefix=none/&after=%d&waitMs=10000", after), "")
			ch <- outcome{a, err}
		}()
	}
	for s.CallCount("kv-watch none/") < len(pending) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // until both wait for events
	s.Restore(c)
	for after, ch := range pending {
		select {
		case o := <-ch:
			if after == kept && o.err == nil {
				t.Errorf("a pending watch of a kept revision was answered with status %d, want a cut connection", o.Status)
			}
			if after == lost && (o.err != nil || o.Status != 410 || o.Era != 2) {
				t.Errorf("pending watch of a lost revision: %+v, want status 410 in era 2", o)
			}
		case <-time.After(time.Second):
			t.Errorf("a pending watch after revision %d did not end within 1 s of the restoration", after)
		}
	}
	mustCall(t, s, 410, "GET", fmt.Sprintf("kv-watch?prefix=a/&after=%d&waitMs=0", lost), "")
	mustCall(t, s, 200, "GET", fmt.Sprintf("kv-watch?prefix=a/&after=%d&waitMs=0", kept), "")
	s.Put("a/3", "x")
	s.Put("a/4", "x")
	a := mustCall(t, s, 200, "GET", fmt.Sprintf("kv-watch?prefix=a/&after=%d&waitMs=0", lost), "")
	if len(a.Events) != 1 || a.Events[0].Key != "a/4" {
		t.Errorf("a watch after revision %d, which was given out again, has the events %+v, want only a/4", lost, a.Events)
	}
}

// Guards against answers without the number of the era, refusals included, and against an
// era that does not rise.
func TestEraInAllAnswers(t *testing.T) {
	s := startTestStore(t)
	c := s.Copy()
	for era := 1; era <= 3; era++ {
		for _, call := range []struct {
			fault                Fault
			status               int
			method, target, body string
		}{
			{Fault{}, 200, "GET", "kv-range?prefix=a/", ""},
			{Fault{}, 404, "GET", "kv-key?key=none", ""},
			{Fault{}, 410, "GET", "kv-watch?prefix=a/&after=1000&waitMs=0", ""},
			{Fault{}, 412, "POST", "kv-txn", putBody("none", 5, "1", 0)},
			{Fault{}, 400, "POST", "kv-txn", "{"},
			{Fault{}, 400, "GET", "none", ""},
			{Fault{Status: 429}, 429, "GET", "kv-range?prefix=a/", ""},
			{Fault{Status: 503}, 503, "GET", "kv-key?key=none", ""},
		} {
			s.SetFault(func(string) Fault { return call.fault })
			if a := mustCall(t, s, call.status, call.method, call.target, call.body); a.Era != era {
				t.Errorf("%s answered with status %d states era %d, want %d", call.target, call.status, a.Era, era)
			}
		}
		s.SetFault(nil)
		s.Restore(c)
	}
}

// Guards against writes of operators and upstreams that are not written again, and
// against repeated writes that undo later ones.
func TestExternalWritesAreRepeated(t *testing.T) {
	s := startTestStore(t)
	s.Put("op/config", "old")
	s.Put("op/evacuate/z1", "{}")
	s.PutWithTTL("servers/u1", "u1", time.Minute)
	s.PutWithTTL("servers/silent", "silent", 50*time.Millisecond)
	c := s.Copy()
	s.Put("op/config", "new")
	s.Remove("op/evacuate/z1")
	s.Put("op/evacuate/z2", "{}")
	s.PutWithTTL("servers/u2", "u2", time.Minute)
	s.PutWithTTL("servers/silent2", "silent2", 50*time.Millisecond)
	s.Put("parsley/own", "x")
	time.Sleep(150 * time.Millisecond) // until the entries of silent upstreams have expired
	first := s.Restore(c)
	want := []ExternalWrite{
		{Key: "op/config", Value: "new"},
		{Key: "op/evacuate/z1", Removed: true},
		{Key: "op/evacuate/z2", Value: "{}"},
		{Key: "servers/u2", Value: "u2", TTL: time.Minute},
	}
	if diff := cmp.Diff(want, first, cmpopts.IgnoreUnexported(ExternalWrite{})); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff([]string{"old", "{}", "", "u1", "", ""}, valuesOf(s, "op/config", "op/evacuate/z1", "op/evacuate/z2", "servers/u1", "servers/u2", "parsley/own")); diff != "" {
		t.Error(diff)
	}
	s.Repeat(first[1])
	second := s.Restore(s.Copy()) // what was not repeated yet is still to be repeated
	if diff := cmp.Diff([]ExternalWrite{want[0], want[2], want[3]}, second, cmpopts.IgnoreUnexported(ExternalWrite{})); diff != "" {
		t.Error(diff)
	}
	s.Put("op/config", "newest")
	for _, w := range second {
		s.Repeat(w)
	}
	if diff := cmp.Diff([]string{"newest", "", "{}", "u1", "u2", ""}, valuesOf(s, "op/config", "op/evacuate/z1", "op/evacuate/z2", "servers/u1", "servers/u2", "parsley/own")); diff != "" {
		t.Error(diff)
	}
}

// Guards against a stand-in that drops a delayed write at a restoration: a write that was
// sent before it is executed after it if its condition holds then.
func TestDelayedWriteOutlastsRestoration(t *testing.T) {
	const delay = 200 * time.Millisecond
	s := startTestStore(t)
	kept := mustCall(t, s, 200, "POST", "kv-txn", putBody("a/kept", 0, "1", 0)).Rev
	c := s.Copy()
	changed := mustCall(t, s, 200, "POST", "kv-txn", putBody("a/kept", kept, "2", 0)).Rev
	s.SetFault(func(string) Fault { return Fault{ExecuteAfter: delay} })
	for key, rev := range map[string]int{"a/kept": kept, "a/lost": changed} {
		if _, err := callStore(s, "POST", "kv-txn", putBody(key, rev, "late", 0)); err == nil {
			t.Error("a delayed write was answered")
		}
	}
	s.SetFault(nil)
	s.Restore(c)
	time.Sleep(2 * delay)
	if diff := cmp.Diff([]string{"late", ""}, valuesOf(s, "a/kept", "a/lost")); diff != "" {
		t.Error(diff)
	}
}
