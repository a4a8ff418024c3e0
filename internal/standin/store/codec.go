package store

import (
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
)

// answer is the body of an answer with status 200.
type answer interface{ encode() []byte }

type (
	// done answers calls that return nothing.
	done struct{}
	// stored answers a write.
	stored struct{ revision revision }
	// granted answers the creation and the renewal of a lease.
	granted struct {
		id  leaseID
		ttl time.Duration
	}
	// changes answers a read.
	changes struct {
		revision revision
		entries  []entry
	}
	instanceList []platform.Listed
)

func (done) encode() []byte { return []byte("{}") }

func (a stored) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(a.revision)) })
	})
	return e.Bytes()
}

func (a granted) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("lease", func(e *jx.Encoder) { e.Str(string(a.id)) })
		e.Field("ttl-ms", func(e *jx.Encoder) { e.Int64(a.ttl.Milliseconds()) })
	})
	return e.Bytes()
}

func (a changes) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(a.revision)) })
		e.Field("entries", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, entry := range a.entries {
					entry.encode(e)
				}
			})
		})
	})
	return e.Bytes()
}

func (en entry) encode(e *jx.Encoder) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("key", func(e *jx.Encoder) { e.Str(en.key) })
		e.Field("value", func(e *jx.Encoder) { e.Base64(append([]byte{}, en.value...)) }) // not null if empty
		e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(en.revision)) })
		if en.deleted {
			e.Field("deleted", func(e *jx.Encoder) { e.Bool(true) })
		}
	})
}

func (a instanceList) encode() []byte { return platform.EncodeList(a) }

// encode returns {"error":"","revision":n}, the latter for a conflict only.
func (f *statusError) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("error", func(e *jx.Encoder) { e.Str(f.detail) })
		if f.current != nil {
			e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(*f.current)) })
		}
	})
	return e.Bytes()
}
