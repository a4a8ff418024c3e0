package assignment

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const sampleRecord = `{"next-fence":9,"members":[{"id":"i1","boot":"b","address":"a","http":"h","zone":"z"}],` +
	`"previous-members":[],"draining":["i1"],` +
	`"upstreams":[{"id":"u1","service":"s","address":"a","zone":"z","dispatcher":"i1","state":"live","fence":1},` +
	`{"id":"u2","service":"s","address":"a","zone":"z","dispatcher":"i1","state":"lost","fence":2}],` +
	`"services":[{"id":"s","shards":[[0,3],[-1,0],[0,8,1]],"pins":[["k\n",1,4],["l",-1,5,0,1]]}]}`

// TestCodec guards against changes of the encoding that other versions cannot read.
func TestCodec(t *testing.T) {
	a, err := Decode([]byte(sampleRecord))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sampleRecord, string(a.Encode())); diff != "" {
		t.Error(diff)
	}
	if o, ok := a.Owner("s", "k\n", 3); !ok || o.Owner != "u2" {
		t.Errorf("owner of the pin: %v %t", o, ok)
	}
	if o, ok := a.Owner("s", "l", 3); ok && o.Unit.Pin != "" {
		t.Errorf("pin without an owner was used: %v", o)
	}
	if _, ok := a.Owner("x", "k", 3); ok {
		t.Error("unknown service has an owner")
	}
}

// TestDecodeRefuses guards against accepting malformed or inconsistent records.
func TestDecodeRefuses(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"draining"`, `"drain"`, "unknown field"},
		{`"draining":["i1"],`, ``, "missing"},
		{`"draining":["i1"]`, `"draining":[],"draining":[]`, "repeated"},
		{`"id":"u2"`, `"id":"u1"`, "out of order"},
		{`["l",`, `["k\n",`, "out of order"},
		{`"lost"`, `"sick"`, "unknown state"},
		{`[0,8,1]`, `[0,9,1]`, "must be less than next-fence"},
		{`[0,8,1]`, `[0,8,2]`, "no upstream with number 2"},
		{`[0,8,1]`, `[0]`, "missing"},
		{`"fence":2}`, `"fence":9}`, "must be less than next-fence"},
		{`]}]}`, `]}]} x`, "after the record"},
		{`"id":"s","shards"`, `"id":"","shards"`, "out of order"},
	} {
		_, err := Decode([]byte(strings.Replace(sampleRecord, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

// TestRecordSize guards against an encoding so large that the store rejects a record
// of the design's size (3 services of 256 shards and 13 upstreams each).
func TestRecordSize(t *testing.T) {
	fx := newFixture()
	fx.joinInstance("instance-1", "zone-1", "boot-1")
	for _, s := range []string{"lookup", "booking", "archive"} {
		fx.addService(s, 256, 6, 6)
		for i := range 13 {
			fx.listUpstream(s+"-"+string(rune('a'+i)), s, "zone-1", "live")
		}
	}
	if err := fx.settle(); err != nil {
		t.Fatal(err)
	}
	if n := len(fx.current.Encode()); n > 32<<10 {
		t.Errorf("record takes %d bytes, want at most 32 KiB: the store accepts 1 MB", n)
	}
}

// FuzzDecode guards against panics and against records that change in a round trip
// of Encode and Decode.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sampleRecord))
	f.Add([]byte(`{"next-fence":1,"members":[],"previous-members":[],"draining":[],"upstreams":[],"services":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Decode(a.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if !again.Equal(a) || !bytes.Equal(again.Encode(), a.Encode()) {
			t.Fatal("record differs after a round trip")
		}
	})
}
