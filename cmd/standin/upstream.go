package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/upstream"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name: "upstream", Usage: "run the test double of an upstream",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true, Usage: "id in the instance list"},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "zone"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`IP:PORT`"},
			&cli.StringFlag{Name: "advertise", Usage: "`IP:PORT` in the instance list (default: the listening address)"},
			&cli.StringSliceFlag{Name: "secret", Usage: "`TEXT` that is recorded as a leaked caller key if a request contains it outside its body"},
			&cli.StringFlag{Name: "list", Usage: "`IP:PORT` of the instance list"},
			&cli.IntFlag{Name: "slots", Value: 6},
			&cli.IntFlag{Name: "cold-slots", Value: 2},
			&cli.DurationFlag{Name: "warm-time", Value: 2 * time.Second, Usage: "processing time after which the upstream is warm"},
			&cli.DurationFlag{Name: "service-time", Value: 5 * time.Millisecond},
			&cli.FloatFlag{Name: "straggle-probability"},
			&cli.DurationFlag{Name: "straggle-time", Value: 200 * time.Millisecond},
			&cli.DurationFlag{Name: "connect-time", Value: time.Millisecond},
			&cli.IntFlag{Name: "max-conns", Value: 120},
			&cli.StringFlag{Name: "fencing", Value: "checked", Usage: "checked or none"},
			&cli.DurationFlag{Name: "report-lag"},
			&cli.BoolFlag{Name: "report-wrong"},
			&cli.StringFlag{Name: "history", Usage: "append events to `FILE`"},
			&cli.DurationFlag{Name: "drain-time", Value: 3 * time.Second, Usage: "time for which requests are still served after SIGTERM"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
		},
		Action: runUpstream,
	}
}

func runUpstream(ctx context.Context, c *cli.Command) error {
	cfg := upstream.Config{
		Name: c.String("name"), Service: fleet.ServiceID(c.String("service")), Zone: fleet.ZoneID(c.String("zone")),
		Addr: c.String("listen"), List: c.String("list"), Slots: c.Int("slots"), ColdSlots: c.Int("cold-slots"),
		WarmTime: c.Duration("warm-time"), ServiceTime: c.Duration("service-time"),
		StraggleProbability: c.Float("straggle-probability"), StraggleTime: c.Duration("straggle-time"),
		ConnectTime: c.Duration("connect-time"), MaxConns: c.Int("max-conns"),
		ReportLag: c.Duration("report-lag"), ReportWrong: c.Bool("report-wrong"),
		Advertise: c.String("advertise"), Secrets: c.StringSlice("secret"), DrainTime: c.Duration("drain-time"), Seed: c.Uint64("seed"),
	}
	switch v := c.String("fencing"); v {
	case "checked":
	case "none":
		cfg.Unfenced = true
	default:
		return errors.Errorf("--fencing: %q is neither checked nor none", v)
	}
	if name := c.String("history"); name != "" {
		f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "open the history file")
		}
		defer func() { _ = f.Close() }()
		cfg.History = f
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := upstream.Start(cfg)
	if err != nil {
		return err
	}
	fmt.Println("listening on", s.Addr(), "boot", s.Boot())
	return s.Run(ctx)
}
