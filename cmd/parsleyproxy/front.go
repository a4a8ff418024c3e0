package main

import (
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/direct"
	"github.com/parsleyproxy/parsleyproxy/internal/hangup"
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
	// frontBodyBudget bounds the memory in bytes of all upstream responses at a time. One of
	// the maximum size takes 1.5 times its size while its buffer grows. Several at a time
	// could exceed the memory of an instance, often 284 MiB.
	frontBodyBudget = frontMaxResponseBody * 3 / 2
	// frontBodyBudgetShare bounds it to a share of the memory limit. The rest is for copies
	// on the way to callers, garbage and everything else.
	frontBodyBudgetShare = 0.4
	// frontStreamTime is the time that the instance's link needs to carry a response body
	// from which on the body is streamed: receiving it completely first would delay the
	// caller by that time once more. Smaller bodies are received completely, so that another
	// upstream can make the response if one of them is cut off.
	frontStreamTime = 20 * time.Millisecond
	// frontMaxStoreBody is the largest response of the store in bytes. Its pages have about
	// 1 MB beside their last value, and values up to 1 MiB, which base64 makes 1.4 MB. A watch
	// that returns more fails, and the complete state is read instead. The store has a budget
	// of its own, so that bodies of upstreams cannot keep an instance from reading it.
	frontMaxStoreBody    = 8 << 20
	frontStoreBodyBudget = 2 * frontMaxStoreBody
	// frontMaxHolderBody is the largest response to a grant or release in bytes; these have
	// no body or a short message.
	frontMaxHolderBody = 64 << 10
)

// upstreamBodyBudget returns the budget for responses of upstreams. maxMemory is the
// memory limit of the instance in bytes, 0 if unknown.
func upstreamBodyBudget(maxMemory int64) *http1.BodyBudget {
	size := int64(frontBodyBudget)
	if maxMemory > 0 {
		size = min(size, int64(float64(maxMemory)*frontBodyBudgetShare))
	}
	return http1.NewBodyBudget(size)
}

// streamAbove returns the size in bytes of response bodies from which on they are streamed.
// linkRate is in bytes per second, 0 if unknown.
func streamAbove(linkRate float64) int64 { return int64(linkRate * frontStreamTime.Seconds()) }

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:  "front",
		Usage: "run an instance on the users' platform until SIGTERM",
		Description: "The platform's settings file is named by " + platform.SettingsVariable + ".\n" +
			"The instance connects to upstreams directly.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "`LEVEL` of the log: debug, info, warn or error", Sources: cli.EnvVars("PARSLEY_LOG_LEVEL")},
			&cli.BoolFlag{Name: "admit-by-priority", Usage: "admit requests of services that are short of capacity by priority", Sources: cli.EnvVars("PARSLEY_ADMIT_BY_PRIORITY")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			path := os.Getenv(platform.SettingsVariable)
			if path == "" {
				return usagef("%s is not set: it must name the settings file", platform.SettingsVariable)
			}
			readSettings := func() (direct.Settings, error) {
				cfg, err := platform.ReadSettings(path)
				cfg.AdmitByPriority = cmd.Bool("admit-by-priority")
				return cfg, err
			}
			cfg, err := readSettings()
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
			return runFront(ctx, cfg, readSettings, level)
		},
	}
}

// runFront runs an instance on the users' platform. It returns after ctx is cancelled
// and the instance has shut down.
func runFront(ctx context.Context, cfg direct.Settings, readSettings func() (direct.Settings, error), level hclog.Level) error {
	keepServingWithoutLog()
	metrics := direct.NewMetrics()
	log := hclog.New(&hclog.LoggerOptions{Level: level, Output: logs.NewWriter(os.Stdout, metrics.LogDropped), JSONFormat: true})
	upstreamTransport := http1.TransportConfig{DialTimeout: frontDialTimeout, IdleTimeout: frontIdleTimeout, MaxBody: frontMaxResponseBody, MaxIdlePerAddr: frontMaxIdleConns, MaxIdle: direct.MaxIdleUpstreamConns(cfg.MaxDescriptors), RejectsExcessConns: true, Bodies: upstreamBodyBudget(cfg.MaxMemory)}
	holderTransport := upstreamTransport
	upstreamTransport.StreamAbove = streamAbove(cfg.LinkRate)
	holderTransport.MaxBody = frontMaxHolderBody
	storeTransport := upstreamTransport
	storeTransport.CloseIdleOnError, storeTransport.RejectsExcessConns = true, false
	storeTransport.MaxBody, storeTransport.Bodies = frontMaxStoreBody, http1.NewBodyBudget(frontStoreBodyBudget)
	external := direct.Platform{
		Store: platform.NewStore(cfg.Store, http1.NewTransport(storeTransport), metrics.StoreCall), Holders: platform.Holders{Client: http1.NewTransport(holderTransport)},
		Protocol: platform.Protocol{}, UpstreamTransport: http1.NewTransport(upstreamTransport), DecodeConfiguration: platform.DecodeConfig, RolloutStatus: platform.RolloutStatus, ReadSettings: readSettings,
		SettingsSignals: hangup.Received(),
	}
	return direct.New(cfg, external, metrics, log).Run(ctx)
}
