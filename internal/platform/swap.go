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

// swap is one compare-and-swap with its repetitions.
type swap struct {
	store  *Store
	record Record // without its revision
	expect fleet.Revision
	body   []byte

	inDoubt bool           // an earlier attempt may have taken effect, or may still
	current fleet.Revision // last revision read back
}

// run sends the write until an answer proves the outcome. It repeats the write
// after an attempt in doubt only if the key is still at the expected revision:
// the attempt may be on its way, and whichever arrives first wins.
func (w *swap) run(ctx context.Context) (fleet.Revision, error) {
	pause := time.Duration(0) // a lost answer is read back at once
	for {
		rev, sendErr := w.send(ctx)
		if done, err := w.conclude(ctx, sendErr); done {
			return rev, err
		}
		for err := sendErr; ; {
			if waitErr := sleep(ctx, retryPause(err, pause)); waitErr != nil {
				return 0, w.unknown(errors.Wrapf(waitErr, "last attempt: %v", err))
			}
			pause = min(max(2*pause, minPause), maxPause)
			var v verdict
			if v, err = w.readBack(ctx, sendErr); err != nil {
				continue
			}
			if v, ok := v.(settled); ok {
				return v.rev, v.err
			}
			break // still at the expected revision
		}
	}
}

// send makes one attempt.
func (w *swap) send(ctx context.Context) (fleet.Revision, error) {
	query := url.Values{"key": {w.record.Key}, "expect": {formatRevision(w.expect)}}
	req := &http1.Request{Method: http.MethodPut, Target: "/v1/kv?" + query.Encode(), Body: w.body}
	// Twice the timeout of a read, since repeating a write costs a read as well.
	sent := time.Now()
	res, err := call(ctx, w.store.calls, 2*w.store.timeout.get(), req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			w.store.timeout.expired()
		}
		return 0, err
	}
	w.store.timeout.answered(time.Since(sent), 0)
	rev, err := decodeStored(res.Body)
	if err != nil || rev <= w.expect {
		return 0, &http1.LostError{Addr: w.store.calls.Addr(), Err: errors.Errorf("bad answer %q to a write", res.Body)}
	}
	return rev, nil
}

// conclude returns the final error of the write if the result of an attempt
// proves it. Without an earlier attempt in doubt, an attempt that had no effect
// is final.
func (w *swap) conclude(ctx context.Context, err error) (done bool, final error) {
	if err == nil {
		return true, nil
	}
	var (
		lost     *http1.LostError
		status   *statusError
		conflict *conflictStatus
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
		return true, asUnavailable(err)
	}
}

// conflict names the winner if it can be read.
func (w *swap) conflict(ctx context.Context, current fleet.Revision) error {
	e := &ConflictError{Key: w.record.Key, Expected: w.expect, Current: current}
	if r, ok, err := w.latest(ctx, 0); err == nil && ok && !r.Deleted {
		e.Current, e.By = r.Revision, r.By
	}
	return e
}

// latest reads the key if it was written after the given revision.
func (w *swap) latest(ctx context.Context, after fleet.Revision) (r Record, ok bool, err error) {
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

// verdict is what a read says about a write in doubt.
type verdict interface{ isVerdict() }

type (
	// settled ends the write, with or without success.
	settled struct {
		rev fleet.Revision
		err error
	}
	// unchanged means that no write has taken effect yet.
	unchanged struct{}
)

func (settled) isVerdict()   {}
func (unchanged) isVerdict() {}

// readBack looks for the write in the stored record and its history. sendErr is
// the error of the last attempt.
func (w *swap) readBack(ctx context.Context, sendErr error) (verdict, error) {
	r, changed, err := w.latest(ctx, w.expect)
	if err != nil {
		return nil, err
	}
	var conflict *conflictStatus
	switch {
	case !changed && errors.As(sendErr, &conflict):
		// The key is below the expected revision, so no attempt can have matched.
		return settled{err: w.conflict(ctx, conflict.current)}, nil
	case !changed:
		return unchanged{}, nil
	}
	w.current = r.Revision
	if r.Deleted {
		return settled{err: w.unknown(errors.Errorf("the key was deleted at revision %d", r.Revision))}, nil
	}
	next := Write{Revision: r.Revision, ID: r.WriteID, By: r.By}
	for _, base := range append([]Write{next}, r.Base...) {
		switch {
		case base.ID == w.record.WriteID:
			return settled{rev: base.Revision}, nil
		case base.Revision == w.expect && next.ID != "":
			// next directly replaced the expected revision, so this write did not.
			return settled{err: &ConflictError{Key: r.Key, Expected: w.expect, Current: r.Revision, By: r.By}}, nil
		}
		next = base
	}
	return settled{err: w.unknown(errors.Errorf("revision %d by %s has replaced it or its rival", r.Revision, r.By))}, nil
}

func (w *swap) unknown(err error) error {
	return &UnknownError{Key: w.record.Key, WriteID: w.record.WriteID, Current: w.current, Err: err}
}

// retryPause returns the time before the next attempt.
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
