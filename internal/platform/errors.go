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

// ConflictError reports a write that lost: the key was not at the expected
// revision. The write has not taken effect and never will.
type ConflictError struct {
	Key      string
	Expected fleet.Revision
	Current  fleet.Revision // 0 if the key does not exist
	By       string         // who wrote Current; empty if it could not be read
}

func (e *ConflictError) Error() string {
	s := fmt.Sprintf("write of %s on revision %d: revision %d is current", e.Key, e.Expected, e.Current)
	if e.By != "" {
		s += ", written by " + e.By
	}
	return s
}

// UnknownError reports a write that may have taken effect, or may still.
type UnknownError struct {
	Key     string
	WriteID string
	Current fleet.Revision // last revision read back; 0 if none was
	Err     error
}

func (e *UnknownError) Error() string {
	return fmt.Sprintf("write %s of %s: outcome unknown: %v", e.WriteID, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// ThrottledError reports a call over the metered rate. It had no effect.
type ThrottledError struct {
	Addr       string
	RetryAfter time.Duration // 0: no advice
}

func (e *ThrottledError) Error() string { return e.Addr + ": over the metered rate" }

// RejectedError reports a call that the store refuses whenever it is repeated,
// such as a value over the size limit (status 413). It had no effect.
type RejectedError struct {
	Addr   string
	Status int
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: rejected with status %d: %s", e.Addr, e.Status, e.Detail)
}

// UnavailableError reports a read without an answer, or a write that was never
// sent.
type UnavailableError struct {
	Addr string
	Err  error
}

func (e *UnavailableError) Error() string { return e.Addr + " unavailable: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// statusError is a failure status that says nothing about the effect.
type statusError struct{ status int }

func (e *statusError) Error() string { return "answered with status " + strconv.Itoa(e.status) }

// conflictStatus is the answer 409.
type conflictStatus struct{ current fleet.Revision }

func (e *conflictStatus) Error() string {
	return "conflict with revision " + strconv.FormatUint(uint64(e.current), 10)
}

// call sends one request with its own deadline. A connection without an answer
// by then is closed, as are the idle ones, which may be silent for the same
// cause. The error is a *ThrottledError, *RejectedError, *conflictStatus,
// *statusError, *http1.NotSentError or *http1.LostError.
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
		current, err := decodeStored(res.Body)
		if err != nil {
			return nil, &http1.LostError{Addr: pool.Addr(), Err: errors.Wrap(err, "decode the conflict")}
		}
		return nil, &conflictStatus{current: current}
	case res.Status == http.StatusTooManyRequests:
		s, _ := strconv.Atoi(res.Header.Get("Retry-After")) // absent or a date: no advice
		return nil, &ThrottledError{Addr: pool.Addr(), RetryAfter: time.Duration(s) * time.Second}
	case res.Status >= 400 && res.Status < 500:
		return nil, &RejectedError{Addr: pool.Addr(), Status: res.Status, Detail: string(res.Body)}
	default:
		return nil, &statusError{status: res.Status}
	}
}

// asUnavailable turns an error of call into the error of a read.
func asUnavailable(err error) error {
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
