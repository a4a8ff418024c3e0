package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const operatorToken = "k7f3-q9x2-m4z8-w1"

const initialCatalogue = `services:
  - {id: booking, slots: 6}
entries:
  - id: book
    owner: bookings@example.org
    service: booking
    path-prefix: /book/
    class: non-idempotent
    routing-key: {from: header, name: X-Hall}
accounts:
  - {id: acme, rate: 10, burst: 5}
`

// fakeAPI is an operator API that keeps one catalogue in memory.
type fakeAPI struct {
	mu           sync.Mutex
	current      *catalogue.Catalogue
	rev          fleet.Revision
	author       string
	applied      int
	applyErr     error
	neverInForce bool   // accepted changes never come into force
	afterRead    func() // called after each read of the catalogue, with mu held
}

func (f *fakeAPI) Catalogue(context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, rev := f.current.Clone(), f.rev
	if f.afterRead != nil {
		f.afterRead()
	}
	return c, rev, nil
}

func (f *fakeAPI) Apply(_ context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied++
	if f.applyErr != nil {
		return 0, f.applyErr
	}
	if base != f.rev {
		return 0, &operator.ConflictError{Base: base, Current: f.rev, By: f.author}
	}
	f.current, f.author = c.Clone(), by
	f.rev++
	return f.rev, nil
}

func (f *fakeAPI) InForce(_ context.Context, rev fleet.Revision) (operator.Progress, error) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	return operator.Progress{Revision: rev, Accepted: now, Learned: 2, Members: 3, InForce: !f.neverInForce, Since: now.Add(1500 * time.Millisecond)}, nil
}

func (f *fakeAPI) Status(context.Context) (operator.Status, error) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	f.mu.Lock()
	defer f.mu.Unlock()
	return operator.Status{
		Instance: "i1", Zone: "a", Now: now, AuthorityUntil: now.Add(time.Second), StoreAnswered: now, CatalogueRevision: f.rev, Planner: "i1",
		Members: []operator.MemberStatus{{ID: "i1", Zone: "a"}, {ID: "i2", Zone: "b", LastAnswer: now.Add(-time.Minute)}},
		Upstreams: []operator.UpstreamStatus{
			{ID: "u1", Service: "booking", Zone: "c", Dispatcher: "i1", State: "live", Known: true, Limit: 2, Slots: 6, InFlight: 1},
		},
		OutOfService: f.current.OutOfService,
	}, nil
}

func (f *fakeAPI) Explain(_ context.Context, q operator.Query) (operator.Explanation, error) {
	x := operator.Explanation{Answered: []fleet.InstanceID{"i1"}, Missing: []fleet.InstanceID{"i2"}}
	switch q := q.(type) {
	case operator.KeyQuery:
		u := fleet.Unit{Service: q.Service, Shard: 7}
		x.Owner = &operator.Ownership{Unit: u, Owner: "u1", Fence: 12, Dispatcher: "i1", Previous: []fleet.UpstreamID{"u9"}}
		x.Moves = []operator.Move{{Unit: u, From: "u9", To: "u1", Fence: 12, Cause: "lost"}}
	case operator.RequestQuery:
		x.Refusals = []operator.RefusedRequest{{Instance: "i1", Request: q.ID, Reason: fleet.ReasonTimeout}}
	}
	return x, nil
}

// startFakeAPI serves a fakeAPI and sets the environment variables with which the
// commands connect to it.
func startFakeAPI(t *testing.T) *fakeAPI {
	t.Helper()
	cat, err := catalogue.Parse("start", []byte(initialCatalogue))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeAPI{current: cat, rev: 41, author: "setup"}
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: operator.Handler(f, operatorToken)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	t.Setenv("PARSLEY_OPERATOR", s.Addr())
	t.Setenv("PARSLEY_TOKEN", operatorToken)
	t.Setenv("PARSLEY_BY", "ana")
	return f
}

type output struct {
	code     int
	out, err string
}

// runCommand runs one command line and checks that no output contains the operator
// token.
func runCommand(t *testing.T, stdin string, args ...string) output {
	t.Helper()
	var out, errOut bytes.Buffer
	code := run(t.Context(), append([]string{"parsleyproxy"}, args...), strings.NewReader(stdin), &out, &errOut)
	if strings.Contains(out.String()+errOut.String(), operatorToken) {
		t.Errorf("%q prints the operator token", args)
	}
	return output{code, out.String(), errOut.String()}
}

// runAndCheck runs a command line and checks its exit code and that its output contains
// parts.
func runAndCheck(t *testing.T, code int, args string, parts ...string) output {
	t.Helper()
	got := runCommand(t, "", strings.Fields(args)...)
	if got.code != code {
		t.Errorf("%s: exit code %d, want %d: %s", args, got.code, code, got.err)
	}
	for _, p := range parts {
		if !strings.Contains(got.out+got.err, p) {
			t.Errorf("%s: output does not contain %q:\n%s%s", args, p, got.out, got.err)
		}
	}
	return got
}

// Guards against commands that change something other than what they report, and
// against invalid input that reaches the store.
func TestEdits(t *testing.T) {
	f := startFakeAPI(t)
	runAndCheck(t, 0, "entry set look --owner a@example.org --service booking --path-prefix /look --class idempotent --key-from query --key-name hall --open",
		"added entry look: owner a@example.org", "revision 42: accepted at 2026-03-01T12:00:00.000Z", "in force at 2026-03-01T12:00:01.500Z, 1.5s later")
	runAndCheck(t, 0, "entry set look --key-from path-segment --key-segment 1 --rate 5 --burst 2",
		"changed entry look: routing-key query hall -> path-segment 1, rate (none) -> 5, burst (none) -> 2")
	runAndCheck(t, 0, "entry set look --open=false --accounts acme --no-limit", "open true -> (none), accounts (none) -> [acme]")
	runAndCheck(t, 0, "entry set look --accounts=", "accounts [acme] -> (none)")
	runAndCheck(t, 0, "entry set look --class idempotent", "revision 45: nothing changes")
	runAndCheck(t, 0, "entry remove look --dry-run", "removed entry look", "nothing was stored")
	runAndCheck(t, 0, "entry remove look", "revision 46")
	runAndCheck(t, 0, "account set new --rate 1.5 --burst 3", "added account new: rate 1.5, burst 3")
	runAndCheck(t, 0, "account remove new")
	runAndCheck(t, 0, "out zone b", "added outage zone b: by ana")
	runAndCheck(t, 0, "status", "zone            b     ana  20", "alarm member-silent", "2 of 6")
	runAndCheck(t, 0, "back zone b", "removed outage zone b")
	runAndCheck(t, 0, "out upstream gone --force")
	runAndCheck(t, 0, "back upstream gone")
	rev, applied := f.rev, f.applied
	for args, part := range map[string]string{
		"entry set look":                          `entry "look": owner: is required`,
		"entry set book --class safe":             `class: "safe": want idempotent or non-idempotent`,
		"entry set book --rate 0 --burst 0":       "--no-limit removes a limit",
		"entry set book --rate x":                 "invalid value",
		"entry set book --no-limit --rate 1":      "not allowed",
		"entry set":                               "ID is required",
		"entry set a b":                           "unexpected argument",
		"entry remove look":                       "there is no such entry",
		"account remove nobody":                   "there is no such account",
		"account set acme --burst 0":              "want 1 to",
		"key grant nobody":                        "there is no such account",
		"key withdraw 0123":                       "want 8 to 64",
		"key withdraw 0123456789":                 "no caller key has this hash",
		"out zone bb":                             `zone "bb": the fleet does not know it; known: a, b, c`,
		"out instance b":                          "known: i1, i2",
		"back zone b":                             "it is not out of service",
		"catalogue apply /nonexistent":            "no such file",
		"catalogue bogus":                         "unknown command",
		"bogus":                                   "unknown command",
		"explain request":                         "ID is required",
		"account set acme --rate 1 --by= --wait=": "invalid value",
	} {
		if got := runAndCheck(t, 2, args, part); got.out != "" {
			t.Errorf("%s: writes to standard output: %s", args, got.out)
		}
	}
	if f.rev != rev || f.applied != applied {
		t.Errorf("invalid input reached the store: revision %d, want %d", f.rev, rev)
	}
	runAndCheck(t, 1, "status --token wrong-token-wrong", "the operator token is missing or wrong")
	runAndCheck(t, 1, "status --operator 127.0.0.1:1", "not sent")
}

// Guards against conflicting changes that overwrite the change stored first or are
// retried silently.
func TestConflict(t *testing.T) {
	f := startFakeAPI(t)
	f.afterRead = func() {
		f.afterRead = func() { // the second read is the API checking the edit
			f.rev, f.author, f.afterRead = 77, "ben", nil
		}
	}
	runAndCheck(t, 3, "account set acme --rate 99", "based on revision 41", "at revision 77, written by ben")
	if f.applied != 1 || f.current.Accounts[0].Limit.Rate != 10 {
		t.Errorf("%d writes, limit %v", f.applied, f.current.Accounts[0].Limit)
	}
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	exported := runAndCheck(t, 0, "catalogue export").out
	writeFile(t, file, strings.Replace(exported, "rate: 10", "rate: 30", 1))
	runAndCheck(t, 3, "catalogue apply --base 41 "+file, "at revision 77, written by ben")
	runAndCheck(t, 3, "catalogue apply --dry-run --base 41 "+file, "at revision 77")
	runAndCheck(t, 0, "catalogue diff "+file, "changed account acme: rate 10 -> 30", "compared with revision 77")
	runAndCheck(t, 0, "catalogue apply --dry-run "+file, "changed account acme", "nothing was stored")
	runAndCheck(t, 0, "catalogue apply "+file, "revision 78: in force")
	runAndCheck(t, 3, "catalogue apply "+file, "at revision 78, written by ana")
	runAndCheck(t, 2, "catalogue apply --base x "+file, `--base: "x"`)
}

func writeFile(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against catalogue files that pass "catalogue check" but that the fleet
// refuses.
func TestFiles(t *testing.T) {
	startFakeAPI(t)
	dir := t.TempDir()
	old, edited, bad := filepath.Join(dir, "old"), filepath.Join(dir, "new"), filepath.Join(dir, "bad")
	writeFile(t, old, initialCatalogue)
	writeFile(t, edited, strings.Replace(initialCatalogue, "slots: 6", "slots: 6, shards: 8", 1))
	writeFile(t, bad, strings.Replace(initialCatalogue, "owner", "ower", 1))
	runAndCheck(t, 0, "catalogue check "+old, "valid: 1 services, 1 entries, 1 accounts")
	runAndCheck(t, 2, "catalogue check "+bad, bad+`:4:5: entry "book": owner: is required`, bad+`:5:5: entry "book": unknown field "ower"`)
	runAndCheck(t, 2, "catalogue diff "+old+" "+edited, "changed service booking: shards 256 -> 8", "fixed at 256")
	runAndCheck(t, 2, "catalogue apply "+old, "--base")
	runAndCheck(t, 2, "catalogue apply --base 41 "+edited, "fixed at 256")
}

// Guards against a caller key that appears in the catalogue or in messages, that is
// printed although it was not stored, or that is stored but never printed.
func TestKeys(t *testing.T) {
	f := startFakeAPI(t)
	got := runAndCheck(t, 0, "key grant acme --note ticket-7", "added caller key")
	key := fleet.CallerKey(strings.TrimSpace(got.out))
	if len(key) < 43 || f.current.CallerKeys[0].Hash != key.Hash() {
		t.Fatalf("printed %d characters, stored %v", len(key), f.current.CallerKeys)
	}
	exported := runAndCheck(t, 0, "catalogue export").out
	if strings.Contains(got.err+exported, string(key)) {
		t.Error("the caller key is in messages or in the catalogue")
	}
	f.neverInForce = true
	if got := runAndCheck(t, 4, "key grant acme --wait 10ms", "2 of 3 members know it"); strings.TrimSpace(got.out) == "" || len(f.current.CallerKeys) != 2 {
		t.Error("a stored caller key was not printed")
	}
	f.neverInForce = false
	if got := runAndCheck(t, 0, "key grant acme --dry-run"); got.out != "" {
		t.Error("a caller key that was not stored was printed")
	}
	f.applyErr = &operator.UnknownError{Err: errors.New("no answer")}
	if got := runAndCheck(t, 1, "key grant acme", "may have been stored", "withdraw the caller key"); got.out != "" {
		t.Error("a caller key with an unknown outcome was printed")
	}
	f.applyErr = nil
	for _, arg := range []string{string(key), "-" + string(key)} { // an argument with a leading dash is parsed as a flag
		if got := runCommand(t, "", "key", "withdraw", arg); got.code != 2 || strings.Contains(got.err, string(key)) {
			t.Errorf("withdraw with the caller key as argument: exit code %d: %s", got.code, got.err)
		}
	}
	if got := runCommand(t, string(key)+"\n", "key", "withdraw", "-"); got.code != 0 || len(f.current.CallerKeys) != 1 {
		t.Errorf("withdraw with the caller key on standard input: exit code %d: %s", got.code, got.err)
	}
	runAndCheck(t, 0, "key withdraw "+f.current.CallerKeys[0].Hash.String()[:8], "removed caller key")
}

// Guards against explanations that do not say which instances did not answer, and
// against a missing "completion" command.
func TestExplain(t *testing.T) {
	startFakeAPI(t)
	runAndCheck(t, 0, "explain key booking hall-7", "booking/7", "u1", "before the instance started", "not yet released by  u9", "no answer from i2")
	runAndCheck(t, 0, "explain request r-1", "r-1", "unknown", "timeout")
	runAndCheck(t, 0, "explain account acme", "no refusal is on record", "no answer from i2")
	runAndCheck(t, 0, "explain key booking hall-7 --json", `"fence": 12`, `"missing": [`)
	runAndCheck(t, 0, "completion bash", "complete")
}

// Guards against serve starting an instance with invalid settings or with --check, and
// against help texts that contain a secret.
func TestServe(t *testing.T) {
	var started []settings.Serve
	saved := runServe
	t.Cleanup(func() { runServe = saved })
	runServe = func(_ context.Context, s settings.Serve) error {
		started = append(started, s)
		return nil
	}
	runAndCheck(t, 2, "serve --zone a", "--instance (empty)", "--store (empty)", "--fleet-secret-file")
	t.Setenv("PARSLEY_FLEET_SECRET", strings.Repeat("f", 32))
	t.Setenv("PARSLEY_OPERATOR_TOKEN", operatorToken)
	valid := "serve --zone a --instance i1 --store 10.0.0.1:1 --list 10.0.0.1:2 --peer-listen 10.0.0.2:1 --forward-listen 10.0.0.2:2"
	runAndCheck(t, 0, valid+" --check", "the settings are valid")
	runAndCheck(t, 2, valid+" extra", "unexpected argument")
	if len(started) != 0 {
		t.Fatalf("started %d instances", len(started))
	}
	runAndCheck(t, 0, valid)
	if len(started) != 1 || started[0].Instance != "i1" {
		t.Errorf("started %v", started)
	}
	if help := fmt.Sprint(runCommand(t, "", "serve", "--help")); strings.Contains(help, strings.Repeat("f", 32)) {
		t.Error("the help text contains a secret")
	}
	runAndCheck(t, 0, "status --help", "PARSLEY_TOKEN")
}
