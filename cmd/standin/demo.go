package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/demo"
	"github.com/parsleyproxy/parsleyproxy/internal/standin/lab"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a fleet and the baseline under load and faults, and compare them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "shape", Value: "authority", Usage: "shape of the fleet: authority, porteria or small"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "duration of the main phase"},
			&cli.FloatFlag{Name: "rate", Usage: "total load in `REQUESTS`/s (default: a third of the upstreams' capacity)"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringSliceFlag{Name: "kind", Usage: "system under test: direct, router or baseline; may be repeated (default: all)"},
			&cli.StringFlag{Name: "run-dir", Usage: "`DIR` for logs, histories and reports (default: a new temporary directory)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			shape, err := lab.FindShape(c.String("shape"))
			if err != nil {
				return err
			}
			dir := c.String("run-dir")
			if dir == "" {
				dir = filepath.Join(os.TempDir(), "parsleyproxy-demo-"+strconv.FormatInt(time.Now().Unix(), 10))
			}
			var kinds []lab.Kind
			for _, k := range c.StringSlice("kind") {
				kinds = append(kinds, lab.Kind(k))
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return demo.Run(ctx, demo.Config{
				Shape: shape, Duration: c.Duration("duration"), Rate: c.Float("rate"), Seed: c.Uint64("seed"), Dir: dir,
				Out: c.Root().Writer, Kinds: kinds,
			})
		},
	}
}
