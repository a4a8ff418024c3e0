package load

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// serveTarget starts a server with the handler and returns it as a target.
func serveTarget(t *testing.T, h http.HandlerFunc) Target {
	t.Helper()
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: h})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return Target{Name: s.Addr(), Addr: s.Addr()}
}

// writeAnswer writes the response of an upstream.
func writeAnswer(w http.ResponseWriter, id, account, key string) {
	w.Header().Set(HeaderClientID, id)
	_, _ = w.Write([]byte(`{"account":"` + account + `","key":"` + key + `"}`))
}

func requestKey(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }

func testConfig(targets ...Target) Config {
	return Config{
		Targets: targets, Duration: 10 * time.Second, MaxRequests: 50, Seed: 7,
		Accounts: []Account{{ID: "acme", Key: "secret", Rate: 1000}},
		Entries:  []Entry{{ID: "find", Service: "lookup", Prefix: "/lookup/", Class: catalogue.Idempotent, Weight: 1, Keys: 20, Skew: 1.1}},
	}
}

func runLoad(t *testing.T, cfg Config) Summary {
	t.Helper()
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s, err := g.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestOpenLoop checks that slow responses do not delay later arrivals: the target
// responds to no request before all have arrived.
func TestOpenLoop(t *testing.T) {
	const n = 50
	var mu sync.Mutex
	arrived, all := 0, make(chan struct{})
	target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if arrived++; arrived == n {
			close(all)
		}
		mu.Unlock()
		<-all
		writeAnswer(w, r.Header.Get(HeaderClientID), "acme", requestKey(r))
	})
	cfg := testConfig(target)
	cfg.Deadline = 20 * time.Second
	s := runLoad(t, cfg)
	if diff := cmp.Diff(map[string]int{OutcomeServed: n}, s.Outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// TestOutcomes checks that a response to another request, a corrupt response and
// a refusal are not counted as served.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, id, key string)
		want   string
	}{
		{"id of another request", func(w http.ResponseWriter, _, key string) { writeAnswer(w, "other", "acme", key) }, OutcomeWrong},
		{"key of another request", func(w http.ResponseWriter, id, _ string) { writeAnswer(w, id, "acme", "other") }, OutcomeWrong},
		{"account of another request", func(w http.ResponseWriter, id, key string) { writeAnswer(w, id, "other", key) }, OutcomeWrong},
		{"truncated body", func(w http.ResponseWriter, id, _ string) {
			w.Header().Set(HeaderClientID, id)
			_, _ = w.Write([]byte(`{"account":"ac`))
		}, OutcomeWrong},
		{"refusal", func(w http.ResponseWriter, _, _ string) {
			w.Header().Set(fleet.HeaderOutcome, string(fleet.NotRun))
			w.Header().Set(fleet.HeaderReason, string(fleet.ReasonRateLimited))
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{}`))
		}, "not-run rate-limited"},
		{"error response of the upstream", func(w http.ResponseWriter, id, key string) {
			w.Header().Set(HeaderClientID, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"account":"acme","key":"` + key + `"}`))
		}, OutcomeFailed},
		{"connection closed within the body", func(w http.ResponseWriter, _, _ string) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"))
			_ = conn.Close()
		}, "unknown connection-lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) { c.answer(w, r.Header.Get(HeaderClientID), requestKey(r)) })
			cfg := testConfig(target)
			cfg.MaxRequests = 3
			if diff := cmp.Diff(map[string]int{c.want: 3}, runLoad(t, cfg).Outcomes); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHistory checks that each request has its own id and that the history shows
// the request that was sent.
func TestHistory(t *testing.T) {
	type sent struct{ deadline, key, auth string }
	var mu sync.Mutex
	got := make(map[string]sent)
	target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderClientID)
		mu.Lock()
		got[id] = sent{r.Header.Get(fleet.HeaderDeadline), requestKey(r), r.Header.Get("Authorization")}
		mu.Unlock()
		writeAnswer(w, id, "acme", requestKey(r))
	})
	var history bytes.Buffer
	cfg := testConfig(target)
	cfg.History, cfg.Deadline, cfg.NetworkDelay = &history, 3*time.Second, 2*time.Millisecond
	runLoad(t, cfg)
	if lines := strings.Count(history.String(), "\n"); lines != cfg.MaxRequests || len(got) != cfg.MaxRequests {
		t.Fatalf("history has %d lines and target got %d ids, want %d of each", lines, len(got), cfg.MaxRequests)
	}
	for id, s := range got {
		if !strings.Contains(history.String(), `"key":"`+s.key+`","client-id":"`+id+`"`) {
			t.Errorf("history has no line with id %s and key %s", id, s.key)
		}
		if ms, err := strconv.Atoi(s.deadline); err != nil || ms < 1 || ms > 3000 {
			t.Errorf("deadline is %q ms, want 1 to 3000", s.deadline)
		}
		if s.auth != "Bearer secret" {
			t.Errorf("Authorization is %q, want the caller key as bearer token", s.auth)
		}
	}
}

// TestTargets checks that a target that fails its readiness check gets no
// requests, and that an account sends most requests to its preferred target.
func TestTargets(t *testing.T) {
	var mu sync.Mutex
	counts := make(map[string]int)
	serve := func(name string, ready int) Target {
		target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/-/ready" {
				w.WriteHeader(ready)
				return
			}
			mu.Lock()
			counts[name]++
			mu.Unlock()
			writeAnswer(w, r.Header.Get(HeaderClientID), "acme", requestKey(r))
		})
		target.Name = name
		return target
	}
	cfg := testConfig(serve("a", http.StatusOK), serve("b", http.StatusOK), serve("out", http.StatusServiceUnavailable))
	cfg.ReadinessInterval, cfg.MaxRequests = 20*time.Millisecond, 400
	cfg.Accounts[0].Target, cfg.Accounts[0].TargetShare = "b", 0.8
	runLoad(t, cfg)
	if counts["out"] != 0 || counts["a"] == 0 || counts["b"] < 3*counts["a"] {
		t.Errorf("requests by target are %v, want none to out and most to b", counts)
	}
}

// TestArrivals checks that the arrival rate is the configured one and that the
// hot keys change.
func TestArrivals(t *testing.T) {
	cfg := testConfig(Target{Name: "none", Addr: "127.0.0.1:1"})
	cfg.MaxRequests, cfg.Duration = 0, 500*time.Millisecond
	cfg.Accounts = append(cfg.Accounts, Account{ID: "large", Rate: 200, LoadFactor: 3})
	s := runLoad(t, cfg)
	if s.Requests < 600 || s.Requests > 1000 {
		t.Errorf("%d requests in 500 ms at 1,600 requests/s, want 600 to 1,000", s.Requests)
	}
	if g := (&Generator{cfg: Config{HotKeyInterval: time.Second}}); g.hotKeyEpoch(2500*time.Millisecond) != 2 {
		t.Error("hot keys did not change twice within 2.5 s at an interval of 1 s")
	}
	p := newPicker(rand.New(rand.NewPCG(1, 1)), []Entry{{Keys: 100, Skew: 3}}, 1)
	first, second := hottestKey(p, 0), hottestKey(p, 1)
	if first != "k0" || second == first {
		t.Errorf("most requested keys are %s and %s, want k0 and another key", first, second)
	}
}

func hottestKey(p *picker, epoch int) (best fleet.RoutingKey) {
	counts := make(map[fleet.RoutingKey]int)
	for range 2000 {
		counts[p.pickKey(0, epoch)]++
	}
	for k, n := range counts {
		if n > counts[best] {
			best = k
		}
	}
	return best
}

// TestParse checks that parsing the result of Format gives the original value,
// and that unknown fields are rejected.
func TestParse(t *testing.T) {
	target := Target{Name: "u", Addr: "127.0.0.1:1", Service: "lookup"}
	account := Account{ID: "a", Key: "k", Rate: 1.5, LoadFactor: 3, Target: "u", TargetShare: 0.5}
	entry := Entry{ID: "e", Service: "s", Prefix: "/s/", Class: catalogue.NonIdempotent, Weight: 2, Keys: 5, Skew: 1.2}
	gotTarget, errTarget := ParseTarget(target.Format())
	gotAccount, errAccount := ParseAccount(account.Format())
	gotEntry, errEntry := ParseEntry(entry.Format())
	for _, err := range []error{errTarget, errAccount, errEntry} {
		if err != nil {
			t.Error(err)
		}
	}
	if diff := cmp.Diff([]any{target, account, entry}, []any{gotTarget, gotAccount, gotEntry}); diff != "" {
		t.Errorf("parsed values differ (-want +got):\n%s", diff)
	}
	if _, err := ParseAccount("id=a;rat=1"); err == nil {
		t.Error("ParseAccount accepted an unknown field")
	}
}
