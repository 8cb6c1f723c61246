package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/scaletest"
	"onyxstream/internal/tomlfile"
)

func scaleCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure what following the list costs fleets of many sizes",
		Long: "scale runs fleets of hollow nodes, many in a process and without clients, and of real processes, and reckons from the\n" +
			"samples what the fleet costs at a target size.\n\n" + statuses,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprint(c.ErrOrStderr(), c.UsageString())
			return usage(errors.New("a command is missing, see the usage above"))
		},
	}
	c.AddCommand(scaleRun(), scaleHollow())
	return c
}

func scaleRun() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Run the fleets that a file names",
		Long: "run measures the fleets of a file (examples/scale.toml): bytes and messages at the list service, processor time,\n" +
			"memory, and the time from a change until the last node has it. A run that the machine can't bear ends with what was\n" +
			"short, keeps the samples it has, and exits with 4.\n\n" + statuses,
		Example: "  onyxstream scale run examples/scale.toml\n  onyxstream scale run examples/scale.toml --json > scale.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var s scaletest.Spec
			if _, err := tomlfile.Read(args[0], &s); err != nil {
				return err
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			opt := scaletest.Options{Program: program}
			if terminal(c.ErrOrStderr()) {
				opt.Progress = func(text string) { fmt.Fprintln(c.ErrOrStderr(), text) }
			}
			result, failed := scaletest.Run(ctx, s, opt)
			if asJSON {
				enc := json.NewEncoder(c.OutOrStdout())
				enc.SetIndent("", "  ")
				if err := enc.Encode(result); err != nil {
					return err
				}
			} else if err := printScale(c.OutOrStdout(), result); err != nil {
				return err
			}
			if failed != nil {
				return failed
			}
			if result.Shortage != "" {
				return &status{ExitPartial, errors.New(result.Shortage)}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON in place of tables")
	return c
}

func scaleHollow() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow N",
		Short:  "Run hollow nodes, until standard input ends",
		Hidden: true, // scale run starts it
		Args:   cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil || n < 1 {
				return usage(fmt.Errorf("%q is no number of nodes", args[0]))
			}
			cfg, err := nodeconfig.Load()
			if err != nil {
				return err
			}
			return scaletest.RunSimulatedNodes(c.Context(), cfg, n, c.InOrStdin(), c.ErrOrStderr())
		},
	}
}

func printScale(out io.Writer, r scaletest.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tkind\tphase\tbytes/s\tmessages/s\tcore %\tMB\tmedian\t99 in 100\tlast\tmissing\t")
	for _, s := range r.Samples {
		for _, p := range []struct {
			name string
			scaletest.Phase
		}{{"rest", s.Idle}, {"changes", s.Changes}, {"restart", s.Restart}} {
			fmt.Fprintf(w, "%d\t%s\t%s\t%.0f\t%.2f\t%.3f\t%.2f\t%v\t%v\t%v\t%d\t\n", s.Nodes, s.Kind, p.name, p.BytesPerS, p.MessagesPerS,
				100*p.Cores, s.MemoryMB, millis(p.Latency.Median), millis(p.Latency.P99), millis(p.Latency.Max), p.Latency.Missing)
		}
	}
	fmt.Fprintln(w, "\nhollow over real\t\tbytes\tmessages\tcore\tmemory\tmedian\t")
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%d\t\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", d.Nodes, d.Bytes, d.Messages, d.Cores, d.Memory, d.Median)
	}
	fmt.Fprintf(w, "\nfor all nodes\tbase\ta node\tR2\tsizes\tspread\tat %d nodes\tbudget\tfits\t\n", r.Spec.Target.Nodes)
	for _, f := range r.Fits {
		budget, verdict := "-", "-"
		if f.Budget > 0 {
			budget, verdict = fmt.Sprintf("%.4g", f.Budget), map[bool]string{true: "yes", false: "NO"}[f.WithinBudget]
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.3f\t%d\t%.0f\t%.4g\t%s\t%s\t\n", f.Metric, f.Intercept, f.Slope, f.R2, f.Samples, f.SizeRatio, f.AtTarget, budget, verdict)
	}
	if r.Shortage != "" {
		fmt.Fprintf(w, "\nnot all was measured: %s\n", r.Shortage)
	}
	return w.Flush()
}

// millis is a time as people read it.
func millis(d time.Duration) string { return d.Round(time.Millisecond).String() }
