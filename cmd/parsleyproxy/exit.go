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

// Exit codes; exitCodeHelp says what each one means.
const (
	codeOK         = 0
	codeFailed     = 1
	codeBadInput   = 2
	codeConflict   = 3
	codeNotInForce = 4
)

const exitCodeHelp = `Exit codes:
  0  done; a change is in force
  1  failed; for a change the message says whether it may have been stored
  2  wrong usage or bad input; nothing was changed
  3  conflict: another change was stored first; nothing was changed
  4  stored, but not in force within --wait; it is not reverted`

// usageError reports wrong usage or bad input. Nothing was changed.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// notInForceError reports a change that is stored but was not known to be in force
// within the time set by --wait.
type notInForceError struct {
	progress operator.Progress
	wait     string
	err      error // error of the last progress query; nil if it was answered
}

func (e *notInForceError) Error() string {
	s := fmt.Sprintf("revision %d is stored but not known to be in force after %s", e.progress.Revision, e.wait)
	if e.err != nil {
		return s + ": " + e.err.Error()
	}
	return fmt.Sprintf("%s: %d of %d members know it", s, e.progress.Learned, e.progress.Members)
}

// grantUnknownError reports a caller key whose hash may have been stored although the
// key was not printed. The operator needs the hash to withdraw the key.
type grantUnknownError struct {
	hash fleet.CallerKeyHash
	err  error
}

func (e *grantUnknownError) Error() string {
	return fmt.Sprintf("%v; withdraw the caller key %s if it is in the catalogue: the key itself was not printed and cannot be recovered", e.err, shortHash(e.hash))
}

func (e *grantUnknownError) Unwrap() error { return e.err }

func exitCode(err error) int {
	var (
		conflict        *operator.ConflictError
		notInForce      *notInForceError
		usage           *usageError
		invalid         *operator.InvalidError
		catalogueErrors catalogue.Errors
		settingsErrors  settings.Errors
		cliError        cli.ExitCoder // returned for unknown help topics
	)
	switch {
	case err == nil:
		return codeOK
	case errors.As(err, &conflict):
		return codeConflict
	case errors.As(err, &notInForce):
		return codeNotInForce
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &catalogueErrors), errors.As(err, &settingsErrors), errors.As(err, &cliError):
		return codeBadInput
	default:
		return codeFailed
	}
}
