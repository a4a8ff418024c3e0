package main

import (
	"fmt"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/operator"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
	"github.com/parsleyproxy/parsleyproxy/pkg/catalogue"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

// Exit codes.
const (
	codeOK       = 0
	codeFailed   = 1
	codeUsage    = 2
	codeConflict = 3
	codeStored   = 4
)

const exitCodeHelp = `Exit codes:
  0  done; a change is in force
  1  failed; for a change the message says whether it may have been stored
  2  wrong usage or bad input; nothing was changed
  3  conflict: another change was stored first; nothing was changed
  4  stored, but not in force within --wait; it is not reverted`

// usageError reports wrong usage or bad input.
type usageError struct{ problem string }

func (e *usageError) Error() string { return e.problem }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// notInForceError reports a change that is stored and not in force yet.
type notInForceError struct {
	progress operator.Progress
	wait     string
	err      error // of the last question, if it was not answered
}

func (e *notInForceError) Error() string {
	s := fmt.Sprintf("revision %d is stored but not known to be in force after %s", e.progress.Revision, e.wait)
	if e.err != nil {
		return s + ": " + e.err.Error()
	}
	return fmt.Sprintf("%s: %d of %d members know it", s, e.progress.Learned, e.progress.Members)
}

// grantUnknownError reports a key grant that may have been stored. The secret is
// lost, so the operator needs the hash.
type grantUnknownError struct {
	hash fleet.CallerKeyHash
	err  error
}

func (e *grantUnknownError) Error() string {
	return fmt.Sprintf("%v; withdraw the caller key %s if it is in the catalogue, its secret was not kept", e.err, shortHash(e.hash))
}

func (e *grantUnknownError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var (
		conflict   *operator.ConflictError
		notInForce *notInForceError
		usage      *usageError
		invalid    *operator.InvalidError
		fields     catalogue.Errors
		flags      settings.Errors
		library    cli.ExitCoder // unknown help topics
	)
	switch {
	case err == nil:
		return codeOK
	case errors.As(err, &conflict):
		return codeConflict
	case errors.As(err, &notInForce):
		return codeStored
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &fields), errors.As(err, &flags), errors.As(err, &library):
		return codeUsage
	default:
		return codeFailed
	}
}
