package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/store"
)

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run the key-value store and the instance list of the platform",
		Flags: []cli.Flag{
			listenFlag("STANDIN_STORE_LISTEN"),
			&cli.IntFlag{
				Name: "writes", Usage: "`NUMBER` of writes admitted per second",
				Value: store.DefaultWrites, Sources: cli.EnvVars("STANDIN_STORE_WRITES"),
			},
			&cli.IntFlag{
				Name: "reads", Usage: "`NUMBER` of reads admitted per second",
				Value: store.DefaultReads, Sources: cli.EnvVars("STANDIN_STORE_READS"),
			},
			&cli.DurationFlag{
				Name: "lag", Usage: "`TIME` until a change of the instance list is visible; negative for no delay",
				Value: store.DefaultLag, Sources: cli.EnvVars("STANDIN_STORE_LAG"),
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := store.Start(store.Config{
				Listen:          cmd.String("listen"),
				WritesPerSecond: cmd.Int("writes"),
				ReadsPerSecond:  cmd.Int("reads"),
				Lag:             cmd.Duration("lag"),
			})
			if err != nil {
				return err
			}
			return serve(ctx, cmd, s)
		},
	}
}
