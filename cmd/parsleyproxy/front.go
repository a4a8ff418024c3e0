package main

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/direct"
	"github.com/parsleyproxy/parsleyproxy/internal/http1"
	"github.com/parsleyproxy/parsleyproxy/internal/logs"
	"github.com/parsleyproxy/parsleyproxy/platform"
)

// Limits of the connections to upstreams and to the store.
const (
	frontDialTimeout = 300 * time.Millisecond
	// frontIdleTimeout is shorter than the 10 s after which upstreams close idle
	// connections, so that no request is sent on one that is being closed.
	frontIdleTimeout     = 8 * time.Second
	frontMaxResponseBody = 64 << 20 // bytes
	frontMaxIdleConns    = 16       // per address
)

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "run an instance on the users' platform until SIGTERM",
		Description: "The platform's settings file is named by " + platform.SettingsVariable + ".\n" +
			"The instance connects to upstreams directly.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "`LEVEL` of the log: debug, info, warn or error", Sources: cli.EnvVars("PARSLEY_LOG_LEVEL")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return usagef("%s is not set: it must name the settings file", platform.SettingsVariable)
			}
			cfg, err := platform.ReadSettings(path)
			if err != nil {
				return usagef("%s: %v", path, err)
			}
			level := hclog.LevelFromString(cmd.String("log-level"))
			if level == hclog.NoLevel {
				return usagef("log-level: want debug, info, warn or error, not %q", cmd.String("log-level"))
			}
			if cmd.Bool("check") {
				return nil
			}
			return runFront(ctx, path, cfg, level)
		},
	}
}

// runFront runs an instance on the users' platform. It returns after ctx is cancelled
// and the instance has shut down.
func runFront(ctx context.Context, path string, cfg direct.Settings, level hclog.Level) error {
	metrics := direct.NewMetrics()
	log := hclog.New(&hclog.LoggerOptions{Level: level, Output: logs.NewWriter(os.Stdout, metrics.LogDropped), JSONFormat: true})
	upstreamTransport := http1.TransportConfig{DialTimeout: frontDialTimeout, IdleTimeout: frontIdleTimeout, MaxBody: frontMaxResponseBody, MaxIdlePerAddr: frontMaxIdleConns, RejectsExcessConns: true}
	storeTransport := upstreamTransport
	storeTransport.CloseIdleOnError, storeTransport.RejectsExcessConns = true, false
	external := direct.Platform{
		Store: platform.NewStore(cfg.Store, http1.NewTransport(storeTransport), metrics.StoreCall), Holders: platform.Holders{Client: http1.NewTransport(upstreamTransport)},
		Protocol: platform.Protocol{}, UpstreamTransport: http1.NewTransport(upstreamTransport), DecodeConfiguration: platform.DecodeConfig, ReadSettings: func() (direct.Settings, error) { return platform.ReadSettings(path) },
	}
	return direct.New(cfg, external, metrics, log).Run(ctx)
}
