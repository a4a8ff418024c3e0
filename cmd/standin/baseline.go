package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/baseline"
	"github.com/parsleyproxy/parsleyproxy/pkg/fleet"
)

func baselineCommand() *cli.Command {
	return &cli.Command{
		Name: "baseline", Usage: "run an instance of a minimal router, for comparison",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "zone"},
			listenFlag("STANDIN_BASELINE_LISTEN"),
			&cli.StringFlag{Name: "list", Required: true, Usage: "`IP:PORT` of the instance list"},
			&cli.StringFlag{Name: "catalogue", Required: true, Usage: "catalogue `FILE`, which is reloaded when it changes"},
			&cli.IntFlag{Name: "instances", Value: 1, Usage: "`NUMBER` of instances that share each limit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := baseline.Start(baseline.Config{
				Name: fleet.InstanceID(c.String("name")), Zone: fleet.ZoneID(c.String("zone")), Listen: c.String("listen"),
				ListAddr: c.String("list"), CatalogueFile: c.String("catalogue"), Instances: c.Int("instances"),
			})
			if err != nil {
				return err
			}
			return serve(ctx, c, s)
		},
	}
}
