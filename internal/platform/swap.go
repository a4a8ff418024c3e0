package platform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// swap is one compare-and-swap operation with its retries.
type swap struct {
	store  *Store
	record Record // its revision is not set
	expect fleet.Revision
	body   []byte

	inDoubt bool           // an earlier attempt may have taken effect or may still do so
	current fleet.Revision // last revision read back
}

// run sends the write until responses prove its outcome. After an attempt with an
// unknown outcome it repeats the write only if the key is still at the expected
// revision: if the earlier attempt is still on its way, the one that arrives first
// takes effect and the other conflicts.
func (w *swap) run(ctx context.Context) (fleet.Revision, error) {
	pause := time.Duration(0) // the first read-back follows immediately
	for {
		rev, sendErr := w.send(ctx)
		if done, err := w.conclude(ctx, sendErr); done {
			return rev, err
		}
		for err := sendErr; ; {
			if waitErr := sleep(ctx, retryPause(err, pause)); waitErr != nil {
				return 0, w.unknownOutcome(errors.Wrapf(waitErr, "last attempt: %v", err))
			}
			pause = min(max(2*pause, minReadBackPause), maxReadBackPause)
			var v readBackResult
			if v, err = w.readBack(ctx, sendErr); err != nil {
				continue
			}
			if v, ok := v.(finalResult); ok {
				return v.rev, v.err
			}
			break // the key is still at the expected revision
		}
	}
}

// send makes one attempt to write the record.
func (w *swap) send(ctx context.Context) (fleet.Revision, error) {
	query := url.Values{"key": {w.record.Key}, "expect": {formatRevision(w.expect)}}
	req := &http1.Request{Method: http.MethodPut, Target: "/v1/kv?" + query.Encode(), Body: w.body}
	// Twice the timeout of a read, since repeating a write requires a read as well.
	sent := time.Now()
	res, err := call(ctx, w.store.calls, 2*w.store.timeout.get(), req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			w.store.timeout.recordTimeout()
		}
		return 0, err
	}
	w.store.timeout.recordAnswer(time.Since(sent), 0)
	rev, err := decodeRevisionAnswer(res.Body)
	if err != nil || rev <= w.expect {
		return 0, &http1.LostError{Addr: w.store.calls.Addr(), Err: errors.Errorf("bad answer %q to a write", res.Body)}
	}
	return rev, nil
}

// conclude reports whether the result of an attempt proves the outcome of the
// write, and returns the final error. An attempt without effect is final only if no
// earlier attempt has an unknown outcome.
func (w *swap) conclude(ctx context.Context, err error) (done bool, final error) {
	if err == nil {
		return true, nil
	}
	var (
		lost     *http1.LostError
		status   *statusError
		conflict *conflictResponse
	)
	switch {
	case errors.As(err, &lost), errors.As(err, &status):
		w.inDoubt = true
		return false, nil
	case w.inDoubt:
		return false, nil
	case errors.As(err, &conflict):
		return true, w.conflict(ctx, conflict.current)
	default:
		return true, asUnavailableError(err)
	}
}

// conflict returns a ConflictError that names the writer of the current revision if
// it can be read.
func (w *swap) conflict(ctx context.Context, current fleet.Revision) error {
	e := &ConflictError{Key: w.record.Key, Expected: w.expect, Current: current}
	if r, ok, err := w.readRecord(ctx, 0); err == nil && ok && !r.Deleted {
		e.Current, e.By = r.Revision, r.By
	}
	return e
}

// readRecord returns the record of the key if it was written after the given
// revision.
func (w *swap) readRecord(ctx context.Context, after fleet.Revision) (r Record, ok bool, err error) {
	c, err := w.store.Changes(ctx, w.record.Key, after, 0)
	if err != nil {
		return Record{}, false, err
	}
	for _, r := range c.Records {
		if r.Key == w.record.Key {
			return r, true, nil
		}
	}
	return Record{}, false, nil
}

// readBackResult is the conclusion that a read-back draws about a write with an
// unknown outcome.
type readBackResult interface{ isReadBackResult() }

type (
	// finalResult ends the write with success or an error, which may be an
	// *UnknownError.
	finalResult struct {
		rev fleet.Revision
		err error
	}
	// unchanged means that no attempt has taken effect yet.
	unchanged struct{}
)

func (finalResult) isReadBackResult() {}
func (unchanged) isReadBackResult()   {}

// readBack looks for the write in the stored record and its history. sendErr is the
// error of the last attempt.
func (w *swap) readBack(ctx context.Context, sendErr error) (readBackResult, error) {
	r, changed, err := w.readRecord(ctx, w.expect)
	if err != nil {
		return nil, err
	}
	var conflict *conflictResponse
	switch {
	case !changed && errors.As(sendErr, &conflict):
		// The key is below the expected revision, so no attempt can have taken effect.
		return finalResult{err: w.conflict(ctx, conflict.current)}, nil
	case !changed:
		return unchanged{}, nil
	}
	w.current = r.Revision
	if r.Deleted {
		return finalResult{err: w.unknownOutcome(errors.Errorf("the key was deleted at revision %d", r.Revision))}, nil
	}
	next := Write{Revision: r.Revision, ID: r.WriteID, By: r.By}
	for _, write := range append([]Write{next}, r.Base...) {
		switch {
		case write.ID == w.record.WriteID:
			return finalResult{rev: write.Revision}, nil
		case write.Revision == w.expect && next.ID != "":
			// next directly replaced the expected revision, so this write did not.
			return finalResult{err: &ConflictError{Key: r.Key, Expected: w.expect, Current: r.Revision, By: r.By}}, nil
		}
		next = write
	}
	return finalResult{err: w.unknownOutcome(errors.Errorf("revision %d by %s has replaced it or its rival", r.Revision, r.By))}, nil
}

func (w *swap) unknownOutcome(err error) error {
	return &UnknownError{Key: w.record.Key, WriteID: w.record.WriteID, Current: w.current, Err: err}
}

// retryPause returns the time to wait before the next attempt.
func retryPause(err error, pause time.Duration) time.Duration {
	var throttled *ThrottledError
	if errors.As(err, &throttled) {
		return max(pause, throttled.RetryAfter)
	}
	return pause
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
