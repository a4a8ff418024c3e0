package operator_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const testToken = "k7f3-q9x2-m4z8-w1"

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// fakeBackend keeps one catalogue in memory. Its fields determine what the other
// methods return.
type fakeBackend struct {
	mu       sync.Mutex
	cat      *catalogue.Catalogue
	rev      fleet.Revision
	by       string
	err      error               // returned by Apply if set
	progress []operator.Progress // results of InForce; the last one is repeated
	status   operator.Status
	explain  operator.Explanation
	query    operator.Query
}

func (f *fakeBackend) Catalogue(context.Context) (*catalogue.Catalogue, fleet.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cat.Clone(), f.rev, nil
}

func (f *fakeBackend) Apply(_ context.Context, base fleet.Revision, c *catalogue.Catalogue, by string) (fleet.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return 0, f.err
	}
	if base != f.rev {
		return 0, errors.Wrap(&operator.ConflictError{Base: base, Current: f.rev, By: f.by, At: noon}, "swap")
	}
	f.cat, f.by = c.Clone(), by
	f.rev++
	return f.rev, nil
}

func (f *fakeBackend) InForce(_ context.Context, _ fleet.Revision) (operator.Progress, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.progress) == 0 {
		return operator.Progress{}, errors.New("restarting")
	}
	p := f.progress[0]
	if len(f.progress) > 1 {
		f.progress = f.progress[1:]
	}
	return p, nil
}

func (f *fakeBackend) Status(context.Context) (operator.Status, error) { return f.status, nil }

func (f *fakeBackend) Explain(_ context.Context, q operator.Query) (operator.Explanation, error) {
	f.query = q
	return f.explain, nil
}

// sharedHTTPClient is never closed: the Stop function of package nbio does not
// return if the goroutine of a poller has not run yet.
var sharedHTTPClient = sync.OnceValues(http1.NewClient)

func startServer(t *testing.T, b operator.Backend) (*operator.Client, *http1.Pool) {
	t.Helper()
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: operator.Handler(b, testToken)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	httpClient, err := sharedHTTPClient()
	if err != nil {
		t.Fatal(err)
	}
	return operator.NewClient(httpClient, s.Addr(), testToken), httpClient.NewPool(s.Addr(), http1.PoolConfig{})
}

func account(id string) catalogue.Account { return catalogue.Account{ID: fleet.AccountID(id)} }

// Guards against lost updates: of several concurrent edits of the same revision
// one is stored, and every other one gets a conflict with the current revision and
// its author.
func TestRacingOperators(t *testing.T) {
	f := &fakeBackend{cat: &catalogue.Catalogue{}, rev: 7, by: "nobody"}
	c, _ := startServer(t, f)
	const editors = 8
	base, rev, err := c.Catalogue(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	errs := make([]error, editors)
	for i := range editors {
		wg.Go(func() {
			edited := base.Clone()
			edited.Accounts = append(edited.Accounts, account(fmt.Sprintf("operator-%d", i)))
			_, errs[i] = c.Apply(t.Context(), rev, edited, fmt.Sprintf("operator-%d", i))
		})
	}
	wg.Wait()
	if len(f.cat.Accounts) != 1 || f.rev != 8 || string(f.cat.Accounts[0].ID) != f.by {
		t.Fatalf("revision %d by %s: %v", f.rev, f.by, f.cat.Accounts)
	}
	for i, err := range errs {
		if f.by == fmt.Sprintf("operator-%d", i) {
			if err != nil {
				t.Errorf("stored edit: %v", err)
			}
			continue
		}
		var conflict *operator.ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("edit %d: %v, want a conflict", i, err)
		}
		if diff := cmp.Diff(&operator.ConflictError{Base: 7, Current: 8, By: f.by, At: noon}, conflict); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against an error that reaches the caller with another type, above all an
// edit that may have been stored and is reported as not stored.
func TestApplyErrors(t *testing.T) {
	service := catalogue.Service{ID: "s", Shards: 4, Slots: 1, ColdSlots: 1, Fencing: catalogue.FencingChecked, Timeout: time.Second}
	other := service
	other.Shards = 8
	tests := []struct {
		name string
		base fleet.Revision
		err  error
		edit catalogue.Catalogue
		by   string
		want error
		text string
	}{
		{"unknown", 1, &operator.UnknownError{Err: errors.New("no answer")}, catalogue.Catalogue{}, "ana", &operator.UnknownError{}, "may have been stored: no answer"},
		{"internal", 1, errors.New("boom"), catalogue.Catalogue{}, "ana", &operator.UnknownError{}, "boom"},
		{"unavailable", 1, &operator.UnavailableError{Err: errors.New("store down")}, catalogue.Catalogue{}, "ana", &operator.UnavailableError{}, "nothing was changed: store down"},
		{"instance behind", 2, nil, catalogue.Catalogue{}, "ana", &operator.UnavailableError{}, "only up to revision 1"},
		{"invalid", 1, nil, catalogue.Catalogue{Accounts: []catalogue.Account{account("a b")}}, "ana", &operator.InvalidError{}, `catalogue:4:9: account "a b": id`},
		{"shards", 1, nil, catalogue.Catalogue{Services: []catalogue.Service{other}}, "ana", &operator.InvalidError{}, "fixed at 4"},
		{"no name", 1, nil, catalogue.Catalogue{}, "", nil, "want who makes the change"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeBackend{cat: &catalogue.Catalogue{Services: []catalogue.Service{service}}, rev: 1, err: tt.err}
			c, _ := startServer(t, f)
			_, err := c.Apply(t.Context(), tt.base, &tt.edit, tt.by)
			if err == nil || !strings.Contains(err.Error(), tt.text) {
				t.Errorf("error %v, want %q", err, tt.text)
			}
			if tt.want != nil && fmt.Sprintf("%T", err) != fmt.Sprintf("%T", tt.want) {
				t.Errorf("error of type %T, want %T", err, tt.want)
			}
			if f.rev != 1 {
				t.Errorf("revision %d", f.rev)
			}
		})
	}
}

// Guards against an edit that is reported as not stored although only the response
// was lost, and one that is reported as possibly stored although the connection
// was refused.
func TestApplyTransport(t *testing.T) {
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte(`{"revision":`))
	})})
	if err != nil {
		t.Fatal(err)
	}
	httpClient, err := sharedHTTPClient()
	if err != nil {
		t.Fatal(err)
	}
	c := operator.NewClient(httpClient, s.Addr(), testToken)
	var unknown *operator.UnknownError
	if _, err := c.Apply(t.Context(), 1, &catalogue.Catalogue{}, "ana"); !errors.As(err, &unknown) {
		t.Errorf("truncated response: %v", err)
	}
	c.Close()
	s.Close()
	var unavailable *operator.UnavailableError
	if _, err := operator.NewClient(httpClient, "127.0.0.1:1", testToken).Apply(t.Context(), 1, &catalogue.Catalogue{}, "ana"); !errors.As(err, &unavailable) {
		t.Errorf("refused connection: %v", err)
	}
}

// Guards against access without the token, and against responses that contain the
// token that was sent.
func TestAuthentication(t *testing.T) {
	_, pool := startServer(t, &fakeBackend{cat: &catalogue.Catalogue{}, rev: 1})
	for _, tt := range []struct {
		authorization, target string
		want                  int
	}{
		{"Bearer " + testToken, "/v1/status", 200},
		{"bearer " + testToken, "/v1/status", 200},
		{"", "/v1/status", 401},
		{"Bearer", "/v1/status", 401},
		{testToken, "/v1/status", 401},
		{"Basic " + testToken, "/v1/status", 401},
		{"Bearer " + testToken + "x", "/v1/catalogue", 401},
		{"Bearer " + testToken[:5], "/v1/nothing", 401},
		{"Bearer " + testToken, "/v1/nothing", 404},
		{"Bearer " + testToken, "/v1/in-force?revision=x", 400},
		{"Bearer " + testToken, "/v1/explain?kind=key&key=k", 400},
	} {
		res, err := pool.Do(t.Context(), &http1.Request{Method: "GET", Target: tt.target, Header: http.Header{"Authorization": {tt.authorization}}})
		if err != nil {
			t.Fatal(err)
		}
		if res.Status != tt.want || strings.Contains(string(res.Body), testToken[:5]) {
			t.Errorf("%q %s: status %d, want %d: %s", tt.authorization, tt.target, res.Status, tt.want, res.Body)
		}
	}
	_, anonymousPool := startServer(t, nil)
	res, err := anonymousPool.Do(t.Context(), &http1.Request{Method: "GET", Target: "/v1/status"})
	if err != nil || res.Status != http.StatusUnauthorized {
		t.Errorf("request without a token: %v %v", res, err)
	}
	h := operator.Handler(nil, "")
	s, err := http1.Listen(http1.ServerConfig{Addr: "127.0.0.1:0", Handler: h})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	httpClient, err := sharedHTTPClient()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.NewClient(httpClient, s.Addr(), "").Status(t.Context()); err == nil {
		t.Error("a handler without a token accepted an empty token")
	}
}

// Guards against fields that are lost or mixed up between handler and client.
func TestRoundTrip(t *testing.T) {
	f := &fakeBackend{
		cat: &catalogue.Catalogue{Accounts: []catalogue.Account{account("acme")}}, rev: 1 << 60,
		progress: []operator.Progress{{Revision: 3, Accepted: noon, Learned: 2, Members: 5, InForce: true, Since: noon.Add(time.Second)}},
		status:   unhealthyStatus(),
		explain: operator.Explanation{
			Answered: []fleet.InstanceID{"i1"}, Missing: []fleet.InstanceID{"i2"},
			Owner: &operator.Ownership{
				Unit: fleet.Unit{Service: "s", Pin: "hall 7"}, Owner: "u1", Fence: 9, Since: noon, Dispatcher: "i1", Previous: []fleet.UpstreamID{"u2", "u3"},
			},
			Moves: []operator.Move{{At: noon, Unit: fleet.Unit{Service: "s", Shard: 255}, From: "u2", To: "u1", Fence: 9, Cause: "lost", Detail: `"x"`}},
			Refusals: []operator.RefusedRequest{{
				At: noon, Instance: "i1", Request: "r", Account: "acme", Entry: "e", Key: "k", Reason: fleet.ReasonTimeout, Detail: "d",
			}},
		},
	}
	c, _ := startServer(t, f)
	cat, rev, err := c.Catalogue(t.Context())
	requireEqual(t, err, f.cat, cat)
	requireEqual(t, err, f.rev, rev)
	p, err := c.InForce(t.Context(), 3)
	requireEqual(t, err, f.progress[0], p)
	s, err := c.Status(t.Context())
	requireEqual(t, err, f.status, s)
	for _, q := range []operator.Query{
		operator.KeyQuery{Service: "s", Key: "a&b=c d/é"}, operator.RequestQuery{ID: "r"}, operator.AccountQuery{ID: "acme"},
	} {
		x, err := c.Explain(t.Context(), q)
		requireEqual(t, err, f.explain, x)
		requireEqual(t, err, q, f.query)
	}
}

func requireEqual(t *testing.T, err error, want, got any) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func unhealthyStatus() operator.Status {
	return operator.Status{
		Instance: "i1", Zone: "a", Boot: "b1", Now: noon, AuthorityUntil: noon.Add(-time.Second), StoreAnswered: noon.Add(-time.Minute),
		CatalogueRevision: 4, AssignmentRevision: 5, Planner: "i0",
		Members: []operator.MemberStatus{{ID: "i0", Zone: "b", Address: "10.0.0.1:1", LastAnswer: noon.Add(-time.Second)}, {ID: "i2", Zone: "c"}},
		Upstreams: []operator.UpstreamStatus{
			{ID: "u1", Service: "s", Zone: "a", Dispatcher: "i1", State: "leaving", Known: true, Limit: 1, Slots: 6, InFlight: 1, Queued: 3},
			{ID: "u2", Service: "s", Zone: "a", State: "lost"},
			{ID: "u3", Service: "s", Zone: "a", State: "live"},
		},
		OutOfService: []catalogue.Outage{{Kind: catalogue.OutageZone, Name: "a", By: "ana", At: noon.Add(-48 * time.Hour)}},
	}
}

// Guards against a condition that raises no alarm, and against alarms for a healthy
// fleet.
func TestAlarms(t *testing.T) {
	var got []operator.AlarmName
	for _, a := range unhealthyStatus().Alarms() {
		got = append(got, a.Name)
	}
	want := []operator.AlarmName{
		operator.AlarmNoAuthority, operator.AlarmServiceDown, operator.AlarmMemberSilent, operator.AlarmMemberSilent,
		operator.AlarmMajoritySilent, operator.AlarmNotMember, operator.AlarmStoreSilent,
		operator.AlarmUpstreamCold, operator.AlarmUpstreamLost, operator.AlarmNoDispatcher, operator.AlarmOutOfServiceOld,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	healthy := operator.Status{
		Instance: "i1", Now: noon, AuthorityUntil: noon.Add(time.Second), StoreAnswered: noon.Add(-time.Second),
		Members:      []operator.MemberStatus{{ID: "i1"}, {ID: "i2", LastAnswer: noon.Add(-500 * time.Millisecond)}},
		Upstreams:    []operator.UpstreamStatus{{ID: "u1", Service: "s", Dispatcher: "i1", State: "live", Known: true, Limit: 6, Slots: 6}},
		OutOfService: []catalogue.Outage{{Kind: catalogue.OutageZone, Name: "b", At: noon.Add(-time.Hour)}},
	}
	if alarms := healthy.Alarms(); len(alarms) > 0 {
		t.Errorf("healthy fleet: %v", alarms)
	}
}

// Guards against a wait that ends before the change is in force, that returns no
// error although no call succeeded, or that loses the last progress.
func TestWaitInForce(t *testing.T) {
	inForce := operator.Progress{Revision: 2, InForce: true}
	f := &fakeBackend{progress: []operator.Progress{{Revision: 2}, {Revision: 2, Learned: 1, Members: 3}, inForce}}
	p, err := operator.WaitInForce(t.Context(), f, 2, time.Millisecond)
	requireEqual(t, err, inForce, p)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if p, err := operator.WaitInForce(ctx, &fakeBackend{}, 2, time.Millisecond); err == nil || p.InForce {
		t.Errorf("no answer: %v %v", p, err)
	}
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	stuck := operator.Progress{Revision: 2, Learned: 1, Members: 3}
	p, err = operator.WaitInForce(ctx, &fakeBackend{progress: []operator.Progress{stuck}}, 2, time.Millisecond)
	requireEqual(t, err, stuck, p)
}

// Guards against a client that cannot decode the responses of a newer version.
func TestUnknownFields(t *testing.T) {
	var p operator.Progress
	if err := p.Decode(jx.DecodeStr(`{"later":{"a":[1]},"revision":3}`)); err != nil || p.Revision != 3 {
		t.Errorf("%v %v", p, err)
	}
}
