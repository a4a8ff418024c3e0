package catalogue_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

const smallCatalogue = `services:
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

func ExampleParse() {
	c, err := catalogue.Parse("small.yaml", []byte(smallCatalogue))
	fmt.Println(c.Services[0].Shards, c.Entries[0].Class, err)
	_, err = catalogue.Parse("small.yaml", []byte(strings.Replace(smallCatalogue, "owner", "ower", 1)))
	fmt.Println(err)
	// Output:
	// 256 non-idempotent <nil>
	// small.yaml:4:5: entry "book": owner: is required
	// small.yaml:5:5: entry "book": unknown field "ower"; known: accounts, burst, class, id, open, owner, path-prefix, rate, routing-key, service
}

func ExampleDiff() {
	old, _ := catalogue.Parse("", []byte(smallCatalogue))
	edited := old.Clone()
	edited.Accounts[0].Limit = fleet.Limit{Rate: 20, Burst: 5}
	edited.Entries[0].Accounts = []fleet.AccountID{"acme"}
	edited.OutOfService = []catalogue.Outage{{
		Kind: catalogue.OutageZone, Name: "a", By: "ana", At: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC),
	}}
	for _, c := range catalogue.Diff(old, edited) {
		fmt.Println(c)
	}
	// Output:
	// changed entry book: accounts (none) -> [acme]
	// changed account acme: rate 10 -> 20
	// added outage zone a: by ana, at 2026-03-01T12:00:00Z
}

func ExampleCatalogue_CheckEdit() {
	old, _ := catalogue.Parse("", []byte(smallCatalogue))
	edited := old.Clone()
	edited.Services[0].Shards = 512
	fmt.Println(edited.CheckEdit(old))
	// Output:
	// service "booking": shards: 512: the shard count of a service is fixed at 256; create another service instead
}

func ExampleCatalogue_Out() {
	c := &catalogue.Catalogue{OutOfService: []catalogue.Outage{{Kind: catalogue.OutageZone, Name: "a", By: "ana"}}}
	o, out := c.Out(catalogue.OutageZone, "a")
	_, other := c.Out(catalogue.OutageInstance, "a")
	fmt.Println(o.By, out, other)
	// Output: ana true false
}

// Guards against errors that are missing, have a wrong position or are reported one
// at a time. Each file lists all errors that Parse must return for it in comments
// that start with "# want: ".
func TestParseFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no files match testdata/*.yaml:", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var want []string
			for line := range strings.Lines(string(data)) {
				if s, ok := strings.CutPrefix(strings.TrimSpace(line), "# want: "); ok {
					want = append(want, "f:"+s)
				}
			}
			c, err := catalogue.Parse("f", data)
			var got []string
			if err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("errors (-want +got):\n%s", diff)
			}
			if strings.Contains(fmt.Sprint(err), "my-secret-caller-key") {
				t.Error("the error repeats a caller key")
			}
			if err == nil {
				checkRoundTrip(t, c)
			}
		})
	}
}

// checkRoundTrip fails the test if Format loses or changes a field of c, or if Check
// refuses c, which Parse has accepted.
func checkRoundTrip(t *testing.T, c *catalogue.Catalogue) {
	t.Helper()
	if err := c.Check(); err != nil {
		t.Errorf("Check refuses what Parse accepted: %v", err)
	}
	again, err := catalogue.Parse("formatted", c.Format())
	if err != nil {
		t.Fatalf("%v\n%s", err, c.Format())
	}
	if diff := cmp.Diff(c, again); diff != "" {
		t.Errorf("Parse(Format(c)) differs (-c +again):\n%s", diff)
	}
	if changes := catalogue.Diff(c, again); len(changes) > 0 {
		t.Errorf("Diff of equal catalogues: %v", changes)
	}
}

// Guards against strings that Format writes without quotes and that Parse then
// reads as another YAML type.
func TestFormatQuotes(t *testing.T) {
	c, err := catalogue.Parse("small", []byte(smallCatalogue))
	if err != nil {
		t.Fatal(err)
	}
	c.CallerKeys = []catalogue.CallerKey{{Hash: fleet.CallerKey("k").Hash(), Account: "acme"}}
	for _, s := range []string{"true", "1e3", "null", "~", "2026-03-01", "- a", "a: b", "# c", "'", `"`, "é", "<<", "%", "0x1f"} {
		c.Entries[0].Owner, c.CallerKeys[0].Note = s, s
		checkRoundTrip(t, c)
	}
}

// Guards against a clone that shares memory with the original.
func TestClone(t *testing.T) {
	c, err := catalogue.Parse("small", []byte(strings.Replace(smallCatalogue, "class:", "accounts: [acme]\n    class:", 1)))
	if err != nil {
		t.Fatal(err)
	}
	want := string(c.Format())
	d := c.Clone()
	d.Entries[0].Accounts[0], d.Services[0].ID, d.Accounts[0].ID = "x", "x", "x"
	if diff := cmp.Diff(want, string(c.Format())); diff != "" {
		t.Error(diff)
	}
}

// Guards against a catalogue that is accepted although it is too large for the
// store.
func TestSize(t *testing.T) {
	c := &catalogue.Catalogue{}
	for i := range 20_000 {
		c.Accounts = append(c.Accounts, catalogue.Account{ID: fleet.AccountID(fmt.Sprintf("account-%030d", i))})
	}
	_, err := catalogue.Parse("big", c.Format())
	var errs catalogue.Errors
	if !errors.As(err, &errs) || !strings.Contains(fmt.Sprint(c.Check()), "at most 700000") {
		t.Errorf("Parse: %v, Check: %v", err, c.Check())
	}
}

// FuzzParse guards against panics, errors without a position, and accepted
// catalogues that Format followed by Parse changes.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.yaml")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := catalogue.Parse("f", data)
		if err == nil {
			checkRoundTrip(t, c)
			return
		}
		var errs catalogue.Errors
		if !errors.As(err, &errs) || len(errs) == 0 {
			t.Fatalf("error of type %T: %v", err, err)
		}
		for _, e := range errs {
			if len(data) <= catalogue.MaxSize && (e.Line < 1 || e.Column < 1) {
				t.Errorf("no position: %v", e)
			}
		}
	})
}
