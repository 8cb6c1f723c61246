package cli

import (
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

func loadRecord() *cobra.Command {
	var listen, target, out string
	c := &cobra.Command{
		Use:   "record",
		Short: "Record what real clients ask, as a trace",
		Long: "record relays clients to a node and writes a trace of what they ask: when, of which class and tenant, by which\n" +
			"key, and how long they stay. Nothing that is said after the first line is kept. It ends with SIGINT or SIGTERM.",
		Example: "  onyxstream load record --listen 127.0.0.1:9001 --target 127.0.0.1:8081 -o evening.csv.gz",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if listen == "" || target == "" || out == "" {
				return usage(errors.New("--listen, --target and --out must be given"))
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			n, err := loadtest.RecordLive(ctx, listen, target, out, func(addr string) {
				fmt.Fprintln(c.ErrOrStderr(), "recording on", addr)
			})
			fmt.Fprintln(c.ErrOrStderr(), n, "requests recorded")
			return err
		},
	}
	fl := c.Flags()
	fl.StringVar(&listen, "listen", "", "address that clients connect to")
	fl.StringVar(&target, "target", "", "address of the node")
	fl.StringVarP(&out, "out", "o", "", "file for the trace; .gz is compressed")
	return c
}
