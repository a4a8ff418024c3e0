package platform

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// ConflictError reports a write that failed because the key was not at the expected
// revision. The write has not taken effect and never will.
type ConflictError struct {
	Key      string
	Expected fleet.Revision
	Current  fleet.Revision // 0 if the key does not exist
	By       string         // writer of Current; empty if it could not be read
}

func (e *ConflictError) Error() string {
	s := fmt.Sprintf("write of %s on revision %d: revision %d is current", e.Key, e.Expected, e.Current)
	if e.By != "" {
		s += ", written by " + e.By
	}
	return s
}

// UnknownError reports a write that may have taken effect or may still do so.
type UnknownError struct {
	Key     string
	WriteID string
	Current fleet.Revision // last revision read back; 0 if none was read
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("write %s of %s: outcome unknown: %v", e.WriteID, e.Key, e.Err)
}

// Unwrap returns the error of the last attempt or read.
func (e *UnknownError) Unwrap() error { return e.Err }

// ThrottledError reports a call that exceeded the metered rate of the store or the
// list. It had no effect.
type ThrottledError struct {
	Addr       string
	RetryAfter time.Duration // 0 if the server named no time
}

func (e *ThrottledError) Error() string { return e.Addr + ": over the metered rate" }

// RejectedError reports a call that would be rejected again if repeated, such as a
// write of a value over the size limit (status 413). It had no effect.
type RejectedError struct {
	Addr   string
	Status int
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: rejected with status %d: %s", e.Addr, e.Status, e.Detail)
}

// UnavailableError reports a read that was not answered, or a write that was not
// sent.
type UnavailableError struct {
	Addr string
	Err  error
}

func (e *UnavailableError) Error() string { return e.Addr + " unavailable: " + e.Err.Error() }

// Unwrap returns the error of the call.
func (e *UnavailableError) Unwrap() error { return e.Err }

// statusError is an error status that does not tell whether the call had an effect.
type statusError struct{ status int }

func (e *statusError) Error() string { return "answered with status " + strconv.Itoa(e.status) }

// conflictResponse is a response with status 409 to a write.
type conflictResponse struct{ current fleet.Revision }

func (e *conflictResponse) Error() string {
	return "conflict with revision " + strconv.FormatUint(uint64(e.current), 10)
}

// call sends one request and waits for the response for at most timeout. If it gets
// none, it closes the connection and the idle connections of the pool, which may
// not respond for the same reason. The error is a *ThrottledError, *RejectedError,
// *conflictResponse, *statusError, *http1.NotSentError or *http1.LostError.
func call(ctx context.Context, pool *http1.Pool, timeout time.Duration, req *http1.Request) (*http1.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := pool.Do(ctx, req)
	if err != nil {
		pool.CloseIdle()
		return nil, err
	}
	switch {
	case res.Status == http.StatusOK:
		return res, nil
	case res.Status == http.StatusConflict:
		current, err := decodeRevisionAnswer(res.Body)
		if err != nil {
			return nil, &http1.LostError{Addr: pool.Addr(), Err: errors.Wrap(err, "decode the conflict")}
		}
		return nil, &conflictResponse{current: current}
	case res.Status == http.StatusTooManyRequests:
		s, _ := strconv.Atoi(res.Header.Get("Retry-After")) // 0 if the header is absent or a date
		return nil, &ThrottledError{Addr: pool.Addr(), RetryAfter: time.Duration(s) * time.Second}
	case res.Status >= 400 && res.Status < 500:
		return nil, &RejectedError{Addr: pool.Addr(), Status: res.Status, Detail: string(res.Body)}
	default:
		return nil, &statusError{status: res.Status}
	}
}

// asUnavailableError converts a *http1.NotSentError or *http1.LostError into an
// *UnavailableError and returns other errors unchanged.
func asUnavailableError(err error) error {
	var (
		notSent *http1.NotSentError
		lost    *http1.LostError
	)
	switch {
	case errors.As(err, &notSent):
		return &UnavailableError{Addr: notSent.Addr, Err: notSent.Err}
	case errors.As(err, &lost):
		return &UnavailableError{Addr: lost.Addr, Err: lost.Err}
	default:
		return err
	}
}
