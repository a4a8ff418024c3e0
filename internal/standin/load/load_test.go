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

// listen serves a test target.
func listen(t *testing.T, h http.HandlerFunc) Target {
	t.Helper()
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: h})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return Target{Name: s.Addr(), Addr: s.Addr()}
}

// answer answers as an upstream does.
func answer(w http.ResponseWriter, id, account, key string) {
	w.Header().Set(HeaderClientID, id)
	_, _ = w.Write([]byte(`{"account":"` + account + `","key":"` + key + `"}`))
}

func keyOf(r *http.Request) string { return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] }

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

// TestOpenLoop guards against slow answers that delay later arrivals: no request
// is answered before all have arrived.
func TestOpenLoop(t *testing.T) {
	const n = 50
	var mu sync.Mutex
	arrived, all := 0, make(chan struct{})
	target := listen(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if arrived++; arrived == n {
			close(all)
		}
		mu.Unlock()
		<-all
		answer(w, r.Header.Get(HeaderClientID), "acme", keyOf(r))
	})
	cfg := testConfig(target)
	cfg.Deadline = 20 * time.Second
	s := runLoad(t, cfg)
	if diff := cmp.Diff(map[string]int{OutcomeServed: n}, s.Outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}

// TestOutcomes guards against counting an answer of another request, a damaged
// one or a refusal as served.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, id, key string)
		want   string
	}{
		{"other id", func(w http.ResponseWriter, _, key string) { answer(w, "other", "acme", key) }, OutcomeWrong},
		{"other key", func(w http.ResponseWriter, id, _ string) { answer(w, id, "acme", "other") }, OutcomeWrong},
		{"other account", func(w http.ResponseWriter, id, key string) { answer(w, id, "other", key) }, OutcomeWrong},
		{"damaged body", func(w http.ResponseWriter, id, _ string) {
			w.Header().Set(HeaderClientID, id)
			_, _ = w.Write([]byte(`{"account":"ac`))
		}, OutcomeWrong},
		{"refusal", func(w http.ResponseWriter, _, _ string) {
			w.Header().Set(fleet.HeaderOutcome, string(fleet.NotRun))
			w.Header().Set(fleet.HeaderReason, string(fleet.ReasonRateLimited))
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{}`))
		}, "not-run rate-limited"},
		{"error of the upstream", func(w http.ResponseWriter, id, key string) {
			w.Header().Set(HeaderClientID, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"account":"acme","key":"` + key + `"}`))
		}, OutcomeFailed},
		{"cut connection", func(w http.ResponseWriter, _, _ string) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"))
			_ = conn.Close()
		}, "unknown connection-lost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := listen(t, func(w http.ResponseWriter, r *http.Request) { c.answer(w, r.Header.Get(HeaderClientID), keyOf(r)) })
			cfg := testConfig(target)
			cfg.MaxRequests = 3
			if diff := cmp.Diff(map[string]int{c.want: 3}, runLoad(t, cfg).Outcomes); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHistory guards against histories in which requests cannot be told apart or
// that do not show the request that was sent.
func TestHistory(t *testing.T) {
	type sent struct{ deadline, key, auth string }
	var mu sync.Mutex
	got := make(map[string]sent)
	target := listen(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(HeaderClientID)
		mu.Lock()
		got[id] = sent{r.Header.Get(fleet.HeaderDeadline), keyOf(r), r.Header.Get("Authorization")}
		mu.Unlock()
		answer(w, id, "acme", keyOf(r))
	})
	var history bytes.Buffer
	cfg := testConfig(target)
	cfg.History, cfg.Deadline, cfg.Delay = &history, 3*time.Second, 2*time.Millisecond
	runLoad(t, cfg)
	if lines := strings.Count(history.String(), "\n"); lines != cfg.MaxRequests || len(got) != cfg.MaxRequests {
		t.Fatalf("%d lines and %d ids, want %d", lines, len(got), cfg.MaxRequests)
	}
	for id, s := range got {
		if !strings.Contains(history.String(), `"key":"`+s.key+`","client-id":"`+id+`"`) {
			t.Errorf("no line with id %s and key %s", id, s.key)
		}
		if ms, err := strconv.Atoi(s.deadline); err != nil || ms < 1 || ms > 3000 {
			t.Errorf("deadline %q, want 1 to 3000", s.deadline)
		}
		if s.auth != "Bearer secret" {
			t.Errorf("authorization %q", s.auth)
		}
	}
}

// TestTargets guards against load on an instance that fails its readiness check,
// and against an account that does not prefer its target.
func TestTargets(t *testing.T) {
	var mu sync.Mutex
	counts := make(map[string]int)
	serve := func(name string, ready int) Target {
		target := listen(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/-/ready" {
				w.WriteHeader(ready)
				return
			}
			mu.Lock()
			counts[name]++
			mu.Unlock()
			answer(w, r.Header.Get(HeaderClientID), "acme", keyOf(r))
		})
		target.Name = name
		return target
	}
	cfg := testConfig(serve("a", http.StatusOK), serve("b", http.StatusOK), serve("out", http.StatusServiceUnavailable))
	cfg.Health, cfg.MaxRequests = 20*time.Millisecond, 400
	cfg.Accounts[0].Target, cfg.Accounts[0].Share = "b", 0.8
	runLoad(t, cfg)
	if counts["out"] != 0 || counts["a"] == 0 || counts["b"] < 3*counts["a"] {
		t.Errorf("requests by target: %v; want none at out and most at b", counts)
	}
}

// TestArrivals guards against a rate that differs from the configured one and
// against hot keys that do not change.
func TestArrivals(t *testing.T) {
	cfg := testConfig(Target{Name: "none", Addr: "127.0.0.1:1"})
	cfg.MaxRequests, cfg.Duration = 0, 500*time.Millisecond
	cfg.Accounts = append(cfg.Accounts, Account{ID: "large", Rate: 200, Times: 3})
	s := runLoad(t, cfg)
	if s.Requests < 600 || s.Requests > 1000 {
		t.Errorf("%d requests in 500 ms at 1,600/s", s.Requests)
	}
	if g := (&Generator{cfg: Config{HotChange: time.Second}}); g.epoch(2500*time.Millisecond) != 2 {
		t.Error("the third period of hot keys did not begin after 2 s")
	}
	p := newPicker(rand.New(rand.NewPCG(1, 1)), []Entry{{Keys: 100, Skew: 3}}, 1)
	first, second := hottest(p, 0), hottest(p, 1)
	if first != "k0" || second == first {
		t.Errorf("hottest keys %s and %s, want k0 and another", first, second)
	}
}

func hottest(p *picker, epoch int) (best fleet.RoutingKey) {
	counts := make(map[fleet.RoutingKey]int)
	for range 2000 {
		counts[p.key(0, epoch)]++
	}
	for k, n := range counts {
		if n > counts[best] {
			best = k
		}
	}
	return best
}

// TestParse guards against fields that Format and Parse treat differently.
func TestParse(t *testing.T) {
	target := Target{Name: "u", Addr: "127.0.0.1:1", Service: "lookup"}
	account := Account{ID: "a", Key: "k", Rate: 1.5, Times: 3, Target: "u", Share: 0.5}
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
		t.Error("an unknown field was accepted")
	}
}
