package store

import (
	"time"

	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/internal/platform"
)

// answer is a response body with status 200.
type answer interface{ encode() []byte }

type (
	// emptyAnswer is the answer to calls that return no data.
	emptyAnswer struct{}
	// writeAnswer is the answer to a write.
	writeAnswer struct{ revision revision }
	// leaseAnswer is the answer to the creation or renewal of a lease.
	leaseAnswer struct {
		id  leaseID
		ttl time.Duration
	}
	// changesAnswer is the answer to a read or watch.
	changesAnswer struct {
		revision revision
		entries  []entry
	}
	// instancesAnswer is the answer to a read of the instance list.
	instancesAnswer []platform.Listed
)

func (emptyAnswer) encode() []byte { return []byte("{}") }

func (a writeAnswer) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(a.revision)) })
	})
	return e.Bytes()
}

func (a leaseAnswer) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("lease", func(e *jx.Encoder) { e.Str(string(a.id)) })
		e.Field("ttl-ms", func(e *jx.Encoder) { e.Int64(a.ttl.Milliseconds()) })
	})
	return e.Bytes()
}

func (a changesAnswer) encode() []byte {
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
		e.Field("value", func(e *jx.Encoder) { e.Base64(append([]byte{}, en.value...)) }) // Base64 encodes a nil slice as null
		e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(en.revision)) })
		if en.deleted {
			e.Field("deleted", func(e *jx.Encoder) { e.Bool(true) })
		}
	})
}

func (a instancesAnswer) encode() []byte { return platform.EncodeList(a) }

// encode returns {"error":"","revision":n}. Only a conflict has a revision.
func (f *statusError) encode() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("error", func(e *jx.Encoder) { e.Str(f.detail) })
		if f.currentRevision != nil {
			e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(*f.currentRevision)) })
		}
	})
	return e.Bytes()
}
