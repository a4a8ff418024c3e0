package main

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/parsleyproxy/parsleyproxy/internal/settings"
)

// runServe runs an instance until ctx ends and it has shut down.
var runServe = func(context.Context, settings.Serve) error {
	return errors.New("serve is not built in")
}
