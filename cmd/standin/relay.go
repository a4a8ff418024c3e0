package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/parsleyproxy/parsleyproxy/internal/standin/relay"
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "run a TCP relay that injects network faults; routes are added through its control API",
		Flags: []cli.Flag{listenFlag("STANDIN_RELAY_LISTEN")},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := relay.Start(cmd.String("listen"))
			if err != nil {
				return err
			}
			return serve(ctx, cmd, s)
		},
	}
}
