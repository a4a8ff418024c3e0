package platform

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Record is a value in the store with the data of the write that stored it.
type Record struct {
	Key      string
	Value    []byte
	Revision fleet.Revision // of the write that stored the record
	WriteID  string
	By       string
	At       time.Time
	Base     []Write // earlier writes that this write builds on, latest first; at most maxHistory
	Deleted  bool    // the key was deleted; only Key and Revision are set
}

// Write identifies an earlier write of a key.
type Write struct {
	Revision fleet.Revision
	ID       string // empty if unknown to the later writer
	By       string
}

// maxHistory is the maximum number of earlier writes in an envelope. A writer
// whose answer was lost finds its write in the history if fewer than maxHistory
// later writes have replaced it.
const maxHistory = 8

// encodeEnvelope returns the stored form of the record:
//
//	{"write-id":"","by":"","at":"RFC 3339","base":[{"revision":1,"write-id":"","by":""}],"value":{}}
//
// A value that is a JSON object is embedded unchanged. Any other value is stored
// as a base64 string.
func encodeEnvelope(r *Record) []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("write-id", func(e *jx.Encoder) { e.Str(r.WriteID) })
		e.Field("by", func(e *jx.Encoder) { e.Str(r.By) })
		e.Field("at", func(e *jx.Encoder) { e.Str(r.At.UTC().Format(time.RFC3339Nano)) })
		e.Field("base", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, w := range r.Base {
					encodeWrite(e, w)
				}
			})
		})
		e.Field("value", func(e *jx.Encoder) {
			if canEmbed(r.Value) {
				e.Raw(r.Value)
			} else {
				e.Base64(nonNilBytes(r.Value))
			}
		})
	})
	return e.Bytes()
}

// canEmbed reports whether value can be embedded as a JSON object without changing
// a byte. Surrounding white space would be lost.
func canEmbed(value []byte) bool {
	n := len(value)
	return n >= 2 && value[0] == '{' && value[n-1] == '}' && jx.Valid(value)
}

// nonNilBytes replaces nil, which jx would encode as null and not as an empty
// string.
func nonNilBytes(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

func encodeWrite(e *jx.Encoder, w Write) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("revision", func(e *jx.Encoder) { e.UInt64(uint64(w.Revision)) })
		e.Field("write-id", func(e *jx.Encoder) { e.Str(w.ID) })
		e.Field("by", func(e *jx.Encoder) { e.Str(w.By) })
	})
}

// decodeEnvelope sets the fields of the record from its stored form.
func decodeEnvelope(data []byte, r *Record) error {
	return jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "write-id":
			r.WriteID, err = d.Str()
		case "by":
			r.By, err = d.Str()
		case "at":
			r.At, err = decodeTime(d)
		case "base":
			err = d.Arr(func(d *jx.Decoder) error {
				w, err := decodeWrite(d)
				r.Base = append(r.Base, w)
				return err
			})
		case "value":
			r.Value, err = decodeValue(d)
		default:
			err = d.Skip()
		}
		return wrapField(err, field)
	})
}

func decodeTime(d *jx.Decoder) (time.Time, error) {
	s, err := d.Str()
	if err != nil {
		return time.Time{}, err
	}
	return time.Parse(time.RFC3339Nano, s)
}

func decodeWrite(d *jx.Decoder) (w Write, err error) {
	err = d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "revision":
			w.Revision, err = decodeRevision(d)
		case "write-id":
			w.ID, err = d.Str()
		case "by":
			w.By, err = d.Str()
		default:
			err = d.Skip()
		}
		return wrapField(err, field)
	})
	return w, err
}

func decodeValue(d *jx.Decoder) ([]byte, error) {
	switch t := d.Next(); t {
	case jx.Object:
		raw, err := d.Raw()
		return append([]byte(nil), raw...), err // raw aliases the input of the decoder
	case jx.String:
		return d.Base64()
	default:
		return nil, errors.Errorf("value is a JSON %s, want an object or a string", t)
	}
}

func decodeRevision(d *jx.Decoder) (fleet.Revision, error) {
	n, err := d.UInt64()
	return fleet.Revision(n), err
}

// decodeChanges decodes the response to GET /v1/changes.
func decodeChanges(data []byte) (c Changes, err error) {
	hasRevision := false
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "revision":
			c.Revision, err = decodeRevision(d)
			hasRevision = true
		case "entries":
			err = d.Arr(func(d *jx.Decoder) error {
				r, err := decodeEntry(d)
				c.Records = append(c.Records, r)
				return err
			})
		default:
			err = d.Skip()
		}
		return wrapField(err, field)
	})
	if err == nil && !hasRevision {
		err = errNoRevision
	}
	return c, err
}

// errNoRevision distinguishes a response without a revision from one with revision
// 0.
var errNoRevision = errors.New("field revision is missing")

func decodeEntry(d *jx.Decoder) (r Record, err error) {
	var value []byte
	err = d.Obj(func(d *jx.Decoder, field string) (err error) {
		switch field {
		case "key":
			r.Key, err = d.Str()
		case "value":
			value, err = d.Base64()
		case "revision":
			r.Revision, err = decodeRevision(d)
		case "deleted":
			r.Deleted, err = d.Bool()
		default:
			err = d.Skip()
		}
		return wrapField(err, field)
	})
	if err != nil || r.Deleted {
		return r, err
	}
	if err := decodeEnvelope(value, &r); err != nil {
		return r, errors.Wrapf(err, "record %s at revision %d", r.Key, r.Revision)
	}
	return r, nil
}

// decodeRevisionAnswer decodes {"revision":n}, the body of the response to a write
// or of a conflict.
func decodeRevisionAnswer(data []byte) (rev fleet.Revision, err error) {
	hasRevision := false
	err = jx.DecodeBytes(data).Obj(func(d *jx.Decoder, field string) (err error) {
		if field != "revision" {
			return d.Skip()
		}
		hasRevision = true
		rev, err = decodeRevision(d)
		return wrapField(err, field)
	})
	if err == nil && !hasRevision {
		err = errNoRevision
	}
	return rev, err
}

// wrapField adds the name of the field to an error and returns nil for nil. The
// Wrapf of the errors library returns an error even for nil.
func wrapField(err error, field string) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, "field %s", field)
}
