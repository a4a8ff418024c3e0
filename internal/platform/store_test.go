package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/platform"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/store"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const key = "parsley/test"

func startStore(t *testing.T, cfg store.Config) *store.Server {
	t.Helper()
	s, err := store.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

func newClient(t *testing.T) *http1.Client {
	t.Helper()
	c, err := http1.NewClient()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func newStore(t *testing.T, addr string) *platform.Store {
	t.Helper()
	s := platform.NewStore(newClient(t), addr)
	t.Cleanup(s.Close)
	return s
}

func setFault(t *testing.T, s *store.Server, f store.Fault) {
	t.Helper()
	if err := s.SetFault(time.Now(), f); err != nil {
		t.Fatal(err)
	}
}

func swap(t *testing.T, s *platform.Store, expect fleet.Revision, value, by string) fleet.Revision {
	t.Helper()
	rev, err := s.Swap(bounded(t), key, expect, []byte(value), by, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// bounded ends a call that would hang.
func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against values, writers or revisions that change on their way.
func TestSwapAndChanges(t *testing.T) {
	s := newStore(t, startStore(t, store.Config{}).Addr())
	at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	want := platform.Changes{Revision: 3}
	for i, value := range []string{`{"a": [1]}`, "yaml: text\n", ""} {
		k := key + string(rune('a'+i))
		rev, err := s.Swap(bounded(t), k, 0, []byte(value), "op", at)
		if err != nil {
			t.Fatal(err)
		}
		want.Records = append(want.Records, platform.Record{
			Key: k, Value: []byte(value), Revision: rev, By: "op", At: at, Base: []platform.Write{{}},
		})
	}
	got, err := s.Changes(bounded(t), key, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	ids := make(map[string]bool)
	for i := range got.Records {
		ids[got.Records[i].WriteID] = true
		got.Records[i].WriteID = ""
	}
	if diff := cmp.Diff(want, got); diff != "" || len(ids) != 3 {
		t.Errorf("write ids %v, %s", ids, diff)
	}
}

// Guards against a loser that is not told who won.
func TestConflictNamesWinner(t *testing.T) {
	s := newStore(t, startStore(t, store.Config{}).Addr())
	base := swap(t, s, 0, "{}", "alice")
	won := swap(t, s, base, "{}", "bob")
	_, err := s.Swap(bounded(t), key, base, []byte("{}"), "carol", time.Now())
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("Swap = %v, want a ConflictError", err)
	}
	if diff := cmp.Diff(&platform.ConflictError{Key: key, Expected: base, Current: won, By: "bob"}, conflict); diff != "" {
		t.Error(diff)
	}
}

// Guards against a write that took effect and is reported as failed because its
// answer was lost.
func TestLostAnswerIsReadBack(t *testing.T) {
	server := startStore(t, store.Config{})
	s := newStore(t, server.Addr())
	base := swap(t, s, 0, "{}", "alice")
	setFault(t, server, store.Fault{Mode: store.ModeLoseAnswers})
	if diff := cmp.Diff(base+1, swap(t, s, base, `{"n":1}`, "alice")); diff != "" {
		t.Error(diff)
	}
	got, err := s.Changes(bounded(t), key, base, 0)
	if err != nil || len(got.Records) != 1 || string(got.Records[0].Value) != `{"n":1}` {
		t.Errorf("Changes = %+v, %v", got, err)
	}
}
