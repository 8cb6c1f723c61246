package cli

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

func loadRecordCommand() *cobra.Command {
	var listen, target, out string
	c := &cobra.Command{
		Use:   "record",
		Short: "Record requests of real clients as a trace",
		Long: "record relays clients to a node and writes a trace of their requests: time, class, tenant, key, group, and the lifetime\n" +
			"and mean message interval of the connection. It doesn't record messages. SIGINT or SIGTERM stops it.",
		Example: "  onyxstream load record --listen 127.0.0.1:9001 --target 127.0.0.1:8081 -o evening.csv.gz",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if listen == "" || target == "" || out == "" {
				return usageError(errors.New("--listen, --target and --out are required"))
			}
			ctx, stop := untilSignal(c)
			defer stop()
			count, err := loadtest.RecordLive(ctx, listen, target, out, func(addr string) {
				fmt.Fprintln(c.ErrOrStderr(), "recording on", addr)
			})
			fmt.Fprintln(c.ErrOrStderr(), count, "requests recorded")
			return err
		},
	}
	flags := c.Flags()
	flags.StringVar(&listen, "listen", "", "address to accept clients on")
	flags.StringVar(&target, "target", "", "address of the node to relay to")
	flags.StringVarP(&out, "out", "o", "", "file for the trace; compressed if its name ends in .gz")
	return c
}
