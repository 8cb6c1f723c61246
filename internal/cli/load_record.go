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
		Short: "Record the requests of real clients as a trace",
		Long: "record relays clients to a node and writes a trace of their requests: when, of which class and tenant, with which\n" +
			"key, and how long the connection lasted. It records nothing after the opening line. It ends with SIGINT or SIGTERM.",
		Example: "  onyxstream load record --listen 127.0.0.1:9001 --target 127.0.0.1:8081 -o evening.csv.gz",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if listen == "" || target == "" || out == "" {
				return usageError(errors.New("--listen, --target and --out must be given"))
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
	flags.StringVar(&listen, "listen", "", "address that clients connect to")
	flags.StringVar(&target, "target", "", "address of the node")
	flags.StringVarP(&out, "out", "o", "", "file for the trace; .gz is compressed")
	return c
}
