package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/parsleyproxy/parsleyproxy/internal/instance"
	"github.com/parsleyproxy/parsleyproxy/internal/settings"
)

// runServe runs an instance. It returns after ctx is cancelled and the instance has
// shut down. Tests replace it.
var runServe = func(ctx context.Context, cfg settings.Serve) error {
	keepServingWithoutLog()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "parsleyproxy", Level: cfg.LogLevel, Output: os.Stderr, JSONFormat: cfg.LogFormat == settings.LogJSON,
	})
	n, err := instance.New(cfg, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
