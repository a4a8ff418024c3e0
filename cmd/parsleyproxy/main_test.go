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

const token = "k7f3-q9x2-m4z8-w1"

const start = `services:
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

// fleetAPI is an operator API with one catalogue.
type fleetAPI struct {
	mu        sync.Mutex
	cat       *catalogue.Catalogue
	rev       fleet.Revision
	by        string
	applied   int
	applyErr  error
	pending   bool   // changes do not come into force
	afterRead func() // runs after each read of the catalogue
}

func (f *fleetAPI) Catalogue(context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, rev := f.cat.Clone(), f.rev
	if f.afterRead != nil {
		f.afterRead()
	}
	return c, rev, nil
}

func (f *fleetAPI) Apply(_ context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied++
	if f.applyErr != nil {
		return 0, f.applyErr
	}
	if base != f.rev {
		return 0, &operator.ConflictError{Base: base, Current: f.rev, By: f.by}
	}
	f.cat, f.by = c.Clone(), by
	f.rev++
	return f.rev, nil
}

func (f *fleetAPI) InForce(_ context.Context, rev fleet.Revision) (operator.Progress, error) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	return operator.Progress{Revision: rev, Accepted: now, Learned: 2, Members: 3, InForce: !f.pending, Since: now.Add(1500 * time.Millisecond)}, nil
}

func (f *fleetAPI) Status(context.Context) (operator.Status, error) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	f.mu.Lock()
	defer f.mu.Unlock()
	return operator.Status{
		Instance: "i1", Zone: "a", Now: now, Authority: now.Add(time.Second), StoreAnswered: now, Catalogue: f.rev, Planner: "i1",
		Members: []operator.MemberStatus{{ID: "i1", Zone: "a"}, {ID: "i2", Zone: "b", Heard: now.Add(-time.Minute)}},
		Upstreams: []operator.UpstreamStatus{
			{ID: "u1", Service: "booking", Zone: "c", Dispatcher: "i1", State: "live", Known: true, Limit: 2, Slots: 6, InFlight: 1},
		},
		OutOfService: f.cat.OutOfService,
	}, nil
}

func (f *fleetAPI) Explain(_ context.Context, q operator.Query) (operator.Explanation, error) {
	x := operator.Explanation{Answered: []fleet.InstanceID{"i1"}, Missing: []fleet.InstanceID{"i2"}}
	switch q := q.(type) {
	case operator.KeyQuery:
		u := fleet.Unit{Service: q.Service, Shard: 7}
		x.Owner = &operator.Ownership{Unit: u, Owner: "u1", Fence: 12, Dispatcher: "i1", Previous: []fleet.UpstreamID{"u9"}}
		x.Moves = []operator.Move{{Unit: u, From: "u9", To: "u1", Fence: 12, Cause: "lost"}}
	case operator.RequestQuery:
		x.Refusals = []operator.Refused{{Instance: "i1", Request: q.ID, Reason: fleet.ReasonTimeout}}
	}
	return x, nil
}

// newFleet starts the API and points the commands at it.
func newFleet(t *testing.T) *fleetAPI {
	t.Helper()
	cat, err := catalogue.Parse("start", []byte(start))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleetAPI{cat: cat, rev: 41, by: "setup"}
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: operator.Handler(f, token)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	t.Setenv("PARSLEY_OPERATOR", s.Addr())
	t.Setenv("PARSLEY_TOKEN", token)
	t.Setenv("PARSLEY_BY", "ana")
	return f
}

type output struct {
	code     int
	out, err string
}

// parsley runs one command line. No output may contain the operator token.
func parsley(t *testing.T, stdin string, args ...string) output {
	t.Helper()
	var out, errOut bytes.Buffer
	code := run(t.Context(), append([]string{"parsleyproxy"}, args...), strings.NewReader(stdin), &out, &errOut)
	if strings.Contains(out.String()+errOut.String(), token) {
		t.Errorf("%q prints the token", args)
	}
	return output{code, out.String(), errOut.String()}
}

// expect runs a command line and checks its exit code and parts of its output.
func expect(t *testing.T, code int, args string, parts ...string) output {
	t.Helper()
	got := parsley(t, "", strings.Fields(args)...)
	if got.code != code {
		t.Errorf("%s: exit code %d, want %d: %s", args, got.code, code, got.err)
	}
	for _, p := range parts {
		if !strings.Contains(got.out+got.err, p) {
			t.Errorf("%s: output lacks %q:\n%s%s", args, p, got.out, got.err)
		}
	}
	return got
}

// Guards against commands that change something else than they say, and against
// bad input that reaches the store.
func TestEdits(t *testing.T) {
	f := newFleet(t)
	expect(t, 0, "entry set look --owner a@example.org --service booking --path-prefix /look --class idempotent --key-from query --key-name hall --open",
		"added entry look: owner a@example.org", "revision 42: accepted at 2026-03-01T12:00:00.000Z", "in force at 2026-03-01T12:00:01.500Z, 1.5s later")
	expect(t, 0, "entry set look --key-from path-segment --key-segment 1 --rate 5 --burst 2",
		"changed entry look: routing-key query hall -> path-segment 1, rate (none) -> 5, burst (none) -> 2")
	expect(t, 0, "entry set look --open=false --accounts acme --no-limit", "open true -> (none), accounts (none) -> [acme]")
	expect(t, 0, "entry set look --accounts=", "accounts [acme] -> (none)")
	expect(t, 0, "entry set look --class idempotent", "revision 45: nothing changes")
	expect(t, 0, "entry remove look --dry-run", "removed entry look", "nothing was stored")
	expect(t, 0, "entry remove look", "revision 46")
	expect(t, 0, "account set new --rate 1.5 --burst 3", "added account new: rate 1.5, burst 3")
	expect(t, 0, "account remove new")
	expect(t, 0, "out zone b", "added outage zone b: by ana")
	expect(t, 0, "status", "zone            b     ana  20", "alarm member-silent", "2 of 6")
	expect(t, 0, "back zone b", "removed outage zone b")
	expect(t, 0, "out upstream gone --force")
	expect(t, 0, "back upstream gone")
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
		if got := expect(t, 2, args, part); got.out != "" {
			t.Errorf("%s: prints a result: %s", args, got.out)
		}
	}
	if f.rev != rev || f.applied != applied {
		t.Errorf("bad input reached the store: revision %d, want %d", f.rev, rev)
	}
	expect(t, 1, "status --token wrong-token-wrong", "the operator token is missing or wrong")
	expect(t, 1, "status --operator 127.0.0.1:1", "not sent")
}

// Guards against lost races that overwrite the winner or are retried silently.
func TestConflict(t *testing.T) {
	f := newFleet(t)
	f.afterRead = func() {
		f.afterRead = func() { // the second read is the API's own check of the edit
			f.rev, f.by, f.afterRead = 77, "ben", nil
		}
	}
	expect(t, 3, "account set acme --rate 99", "based on revision 41", "at revision 77, written by ben")
	if f.applied != 1 || f.cat.Accounts[0].Limit.Rate != 10 {
		t.Errorf("%d writes, limit %v", f.applied, f.cat.Accounts[0].Limit)
	}
	file := filepath.Join(t.TempDir(), "catalogue.yaml")
	exported := expect(t, 0, "catalogue export").out
	write(t, file, strings.Replace(exported, "rate: 10", "rate: 30", 1))
	expect(t, 3, "catalogue apply --base 41 "+file, "at revision 77, written by ben")
	expect(t, 3, "catalogue apply --dry-run --base 41 "+file, "at revision 77")
	expect(t, 0, "catalogue diff "+file, "changed account acme: rate 10 -> 30", "compared with revision 77")
	expect(t, 0, "catalogue apply --dry-run "+file, "changed account acme", "nothing was stored")
	expect(t, 0, "catalogue apply "+file, "revision 78: in force")
	expect(t, 3, "catalogue apply "+file, "at revision 78, written by ana")
	expect(t, 2, "catalogue apply --base x "+file, `--base: "x"`)
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against files that check accepts and the fleet refuses.
func TestFiles(t *testing.T) {
	newFleet(t)
	dir := t.TempDir()
	old, edited, bad := filepath.Join(dir, "old"), filepath.Join(dir, "new"), filepath.Join(dir, "bad")
	write(t, old, start)
	write(t, edited, strings.Replace(start, "slots: 6", "slots: 6, shards: 8", 1))
	write(t, bad, strings.Replace(start, "owner", "ower", 1))
	expect(t, 0, "catalogue check "+old, "valid: 1 services, 1 entries, 1 accounts")
	expect(t, 2, "catalogue check "+bad, bad+`:4:5: entry "book": owner: is required`, bad+`:5:5: entry "book": unknown field "ower"`)
	expect(t, 2, "catalogue diff "+old+" "+edited, "changed service booking: shards 256 -> 8", "fixed at 256")
	expect(t, 2, "catalogue apply "+old, "--base")
	expect(t, 2, "catalogue apply --base 41 "+edited, "fixed at 256")
}

// Guards against a caller key in the catalogue, in messages or printed although it
// was not stored, and against one that is stored and never printed.
func TestKeys(t *testing.T) {
	f := newFleet(t)
	got := expect(t, 0, "key grant acme --note ticket-7", "added caller key")
	key := fleet.CallerKey(strings.TrimSpace(got.out))
	if len(key) < 43 || f.cat.CallerKeys[0].Hash != key.Hash() {
		t.Fatalf("printed %d characters, stored %v", len(key), f.cat.CallerKeys)
	}
	exported := expect(t, 0, "catalogue export").out
	if strings.Contains(got.err+exported, string(key)) {
		t.Error("the caller key is in messages or in the catalogue")
	}
	f.pending = true
	if got := expect(t, 4, "key grant acme --wait 10ms", "2 of 3 members know it"); strings.TrimSpace(got.out) == "" || len(f.cat.CallerKeys) != 2 {
		t.Error("a stored caller key was not printed")
	}
	f.pending = false
	if got := expect(t, 0, "key grant acme --dry-run"); got.out != "" {
		t.Error("a caller key that was not stored was printed")
	}
	f.applyErr = &operator.UnknownError{Err: errors.New("no answer")}
	if got := expect(t, 1, "key grant acme", "may have been stored", "withdraw the caller key"); got.out != "" {
		t.Error("a caller key with an unknown outcome was printed")
	}
	f.applyErr = nil
	for _, arg := range []string{string(key), "-" + string(key)} { // a leading dash makes it a flag
		if got := parsley(t, "", "key", "withdraw", arg); got.code != 2 || strings.Contains(got.err, string(key)) {
			t.Errorf("caller key as argument: %d %s", got.code, got.err)
		}
	}
	if got := parsley(t, string(key)+"\n", "key", "withdraw", "-"); got.code != 0 || len(f.cat.CallerKeys) != 1 {
		t.Errorf("from standard input: %d %s", got.code, got.err)
	}
	expect(t, 0, "key withdraw "+f.cat.CallerKeys[0].Hash.String()[:8], "removed caller key")
}

// Guards against answers that hide that some instances were not asked.
func TestExplain(t *testing.T) {
	newFleet(t)
	expect(t, 0, "explain key booking hall-7", "booking/7", "u1", "before the instance started", "not yet released by  u9", "no answer from i2")
	expect(t, 0, "explain request r-1", "r-1", "unknown", "timeout")
	expect(t, 0, "explain account acme", "no refusal is on record", "no answer from i2")
	expect(t, 0, "explain key booking hall-7 --json", `"fence": 12`, `"missing": [`)
	expect(t, 0, "completion bash", "complete")
}

// Guards against an instance that starts with bad settings, and against --check
// starting one.
func TestServe(t *testing.T) {
	var started []settings.Serve
	saved := runServe
	t.Cleanup(func() { runServe = saved })
	runServe = func(_ context.Context, s settings.Serve) error {
		started = append(started, s)
		return nil
	}
	expect(t, 2, "serve --zone a", "--instance (empty)", "--store (empty)", "--fleet-secret-file")
	t.Setenv("PARSLEY_FLEET_SECRET", strings.Repeat("f", 32))
	t.Setenv("PARSLEY_OPERATOR_TOKEN", token)
	valid := "serve --zone a --instance i1 --store 10.0.0.1:1 --list 10.0.0.1:2 --peer-listen 10.0.0.2:1 --forward-listen 10.0.0.2:2"
	expect(t, 0, valid+" --check", "the settings are valid")
	expect(t, 2, valid+" extra", "unexpected argument")
	if len(started) != 0 {
		t.Fatalf("started %d instances", len(started))
	}
	expect(t, 0, valid)
	if len(started) != 1 || started[0].Instance != "i1" {
		t.Errorf("started %v", started)
	}
	if help := fmt.Sprint(parsley(t, "", "serve", "--help")); strings.Contains(help, strings.Repeat("f", 32)) {
		t.Error("the help shows a secret")
	}
	expect(t, 0, "status --help", "PARSLEY_TOKEN")
}
