package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
	"onyxstream/internal/loadtest/page"
)

func loadCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "load",
		Short: "Put load on nodes and measure what clients get",
		Long: "load sends every request when it is meant to be sent, whatever became of those before, and counts every\n" +
			"time from that moment.\n\n" + statuses,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			fmt.Fprint(c.ErrOrStderr(), c.UsageString())
			return usage(errors.New("a command is missing, see the usage above"))
		},
	}
	c.AddCommand(loadRun(), loadReplay(), loadRecord(), loadCompare(), loadPlot(), loadStand())
	return c
}

// runFlags are what run and replay share.
type runFlags struct {
	targets                            []string
	out, page, hdr, ledger, log, trace string
	seed                               uint64
	repeat                             int
	json, quiet                        bool
}

func (f *runFlags) add(c *cobra.Command) {
	fl := c.Flags()
	fl.StringArrayVar(&f.targets, "target", nil, "address of a node that serves already; may be given again (default: the scenario's own fleet)")
	fl.StringVarP(&f.out, "out", "o", "", "file for the result as JSON")
	fl.StringVar(&f.page, "page", "", "file for the result as an HTML page")
	fl.StringVar(&f.hdr, "hdr", "", "file for HdrHistogram's text form of the latencies of served requests")
	fl.StringVar(&f.ledger, "ledger", "", "file for what the stand-ins saw, as JSON Lines")
	fl.StringVar(&f.log, "node-log", "", "file for the nodes' logs")
	fl.StringVar(&f.trace, "record", "", "file for the requests as a trace; .gz is compressed")
	fl.Uint64Var(&f.seed, "seed", 0, "seed of the load in place of the scenario's")
	fl.IntVar(&f.repeat, "repeat", 1, "how many times to run; results are numbered")
	fl.BoolVar(&f.json, "json", false, "print the result as JSON in place of a table")
	fl.BoolVarP(&f.quiet, "quiet", "q", false, "print no progress")
}

func loadRun() *cobra.Command {
	f := &runFlags{}
	c := &cobra.Command{
		Use:   "run SCENARIO",
		Short: "Play a scenario",
		Long: "run plays a scenario file (docs/load.md describes it): on the fleet that it names, of real nodes and stand-in\n" +
			"hosts on this machine, or on nodes that serve already.\n\n" + statuses,
		Example: "  onyxstream load run examples/steady.toml --page steady.html\n" +
			"  onyxstream load run surge.toml --target 10.0.0.4:8081 --target 10.0.0.5:8081 -o after.json --repeat 5",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, text, err := loadtest.ReadScenario(args[0])
			if err != nil {
				return err
			}
			return f.play(c, s, text, loadtest.PlayOptions{})
		},
	}
	f.add(c)
	return c
}

func loadReplay() *cobra.Command {
	f := &runFlags{}
	var speed float64
	var scenario string
	var deadline time.Duration
	c := &cobra.Command{
		Use:   "replay TRACE",
		Short: "Play a trace, at any speed",
		Long: "replay sends the requests of a trace (CSV or JSON Lines, gzip or not; docs/load.md describes it) in their order\n" +
			"and spacing. The trace is read to its end before the first is sent, so that a replay does not end in its middle.\n" +
			"With --scenario the classes, clients, faults and fleet are the scenario's.\n\n" + statuses,
		Example: "  onyxstream load replay tuesday.csv.gz --speed 3 --scenario examples/steady.toml -o tuesday.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !(speed > 0 && speed <= 1000) {
				return usage(fmt.Errorf("--speed: %g is not above 0 and up to 1000", speed))
			}
			var s *loadtest.Scenario
			var text []byte
			var err error
			if scenario != "" {
				s, text, err = loadtest.ReadScenario(scenario)
			} else {
				s, err = loadtest.ReplayScenario(args[0], deadline)
			}
			if err != nil {
				return err
			}
			return f.play(c, s, text, loadtest.PlayOptions{Trace: args[0], Speed: speed})
		},
	}
	f.add(c)
	c.Flags().Float64Var(&speed, "speed", 1, "times the trace's own speed")
	c.Flags().StringVar(&scenario, "scenario", "", "file that says what clients, classes and the fleet are")
	c.Flags().DurationVar(&deadline, "deadline", 3*time.Second, "how long clients wait, where no scenario says it")
	return c
}

func (f *runFlags) play(c *cobra.Command, s *loadtest.Scenario, text []byte, o loadtest.PlayOptions) (err error) {
	if f.repeat < 1 || f.repeat > 1000 {
		return usage(fmt.Errorf("--repeat: %d is not between 1 and 1000", f.repeat))
	}
	if f.seed != 0 {
		s.Seed = f.seed
	}
	if s.Fleet == nil && len(f.targets) == 0 {
		return usage(errors.New("the scenario has no fleet: name nodes with --target"))
	}
	if o.Program, err = os.Executable(); err != nil {
		return err
	}
	o.Targets, o.Record = f.targets, f.trace
	for _, file := range []struct {
		path string
		into *io.Writer
	}{{f.log, &o.NodeLog}, {f.ledger, &o.Ledger}} {
		if file.path == "" {
			continue
		}
		w, err := os.Create(file.path)
		if err != nil {
			return err
		}
		defer w.Close()
		*file.into = w
	}
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	if !f.quiet && terminal(c.ErrOrStderr()) {
		o.OnProgress = progress(c.ErrOrStderr())
	}
	for i := range f.repeat {
		r, err := loadtest.Play(ctx, s, text, o)
		if o.OnProgress != nil {
			fmt.Fprint(c.ErrOrStderr(), "\r\x1b[K")
		}
		if r == nil {
			return err
		}
		if err := errors.Join(err, f.write(c, r, i)); err != nil {
			return err
		}
		switch {
		case r.Partial:
			return &status{ExitPartial, fmt.Errorf("the result is partial: %s", r.PartialReason)}
		case r.BehindReason != "":
			return &status{ExitBehind, errors.New(r.BehindReason)}
		}
	}
	return nil
}

// numbered names the file of the i-th run.
func (f *runFlags) numbered(path string, i int) string {
	if f.repeat == 1 {
		return path
	}
	ext := filepath.Ext(path)
	return fmt.Sprintf("%s-%d%s", strings.TrimSuffix(path, ext), i+1, ext)
}

func (f *runFlags) write(c *cobra.Command, r *loadtest.Result, i int) error {
	var errs []error
	if f.out != "" {
		errs = append(errs, r.Write(f.numbered(f.out, i)))
	}
	if f.page != "" {
		errs = append(errs, writePage(f.numbered(f.page, i), r))
	}
	if f.hdr != "" {
		errs = append(errs, writeHDR(f.numbered(f.hdr, i), r))
	}
	if f.json {
		enc := json.NewEncoder(c.OutOrStdout())
		enc.SetIndent("", " ")
		return errors.Join(append(errs, enc.Encode(r))...)
	}
	return errors.Join(append(errs, table(c.OutOrStdout(), r))...)
}

func writePage(path string, r *loadtest.Result) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(w, r), w.Close())
}

func writeHDR(path string, r *loadtest.Result) error {
	w, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, p := range r.Paths() {
		all, err := r.Aggregate(p)
		if err != nil {
			return errors.Join(err, w.Close())
		}
		s := all.Latency["served"]
		h, err := s.Histogram()
		if err != nil {
			return errors.Join(err, w.Close())
		}
		fmt.Fprintf(w, "#[path %s, served, ms]\n", p)
		if _, err := h.PercentilesPrint(w, 5, 1000); err != nil {
			return errors.Join(err, w.Close())
		}
	}
	return w.Close()
}

// progress prints one line over itself.
func progress(w io.Writer) func(loadtest.Progress) {
	return func(p loadtest.Progress) {
		fmt.Fprintf(w, "\r\x1b[K%4.0f s  %d asked, %d served, %d refused, %d neither; %d open; %.2f ms late",
			p.Elapsed.Seconds(), p.Started, p.Served, p.Rejected, p.Failed, p.Open, float64(p.Lateness.Microseconds())/1000)
	}
}

// table prints what matters of a result.
func table(out io.Writer, r *loadtest.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tpath\tasked\tserved\trefused\tneither\tp50 ms\tp99 ms\tmax ms\tservice p99\tbroken\tmoved\t")
	line := func(c *loadtest.ClassResult) {
		s, lat := c.Outcomes["served"], c.Latency["served"]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n", c.Class, c.Path, c.Requests, s, c.Outcomes["refused"],
			c.Requests-s-c.Outcomes["refused"], lat.P50, lat.P99, lat.Max, c.Service.P99, c.Broken, c.Migrated)
	}
	for i := range r.Classes {
		line(&r.Classes[i])
	}
	for _, p := range r.Paths() {
		all, err := r.Aggregate(p)
		if err != nil {
			return err
		}
		line(&all)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "generator: %.3f ms late at the 99th percentile, %.3f ms at most\n", r.Lateness.P99, r.Lateness.Max)
	if r.Nodes != nil {
		fmt.Fprintf(out, "nodes: %.2f s of CPU, %.0f MB at most\n", r.Nodes.CPU.Seconds(), r.Nodes.PeakMB)
	}
	if r.ListService != nil {
		fmt.Fprintf(out, "list service: %d calls, %d turned away, %d within 100 ms at most\n", r.ListService.Calls, r.ListService.Turned, r.ListService.Most)
	}
	if r.WrongReceipts > 0 {
		fmt.Fprintf(out, "%d receipts were given that no host had made\n", r.WrongReceipts)
	}
	return nil
}

func loadPlot() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:     "plot RESULT",
		Short:   "Draw a result as an HTML page",
		Example: "  onyxstream load plot after.json -o after.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			r, err := loadtest.ReadResult(args[0])
			if err != nil {
				return usage(err)
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], filepath.Ext(args[0])) + ".html"
			}
			return writePage(out, r)
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "file for the page (default: the result's name with .html)")
	return c
}

func loadCompare() *cobra.Command {
	var base, next []string
	var asJSON, check, all bool
	c := &cobra.Command{
		Use:   "compare --base RESULT... --new RESULT...",
		Short: "Say which differences between runs are over their noise",
		Long: "compare sets runs of the same load side by side. Each side needs three runs at least before a difference can be\n" +
			"told from noise; with fewer the figures are shown without a verdict. A difference counts where it is over twice\n" +
			"its standard error and no run of one side lies among the other's.\n\n" + statuses,
		Example: "  onyxstream load run steady.toml -o before.json --repeat 5\n" +
			"  onyxstream load compare --base before-1.json,before-2.json,before-3.json --new after-1.json,after-2.json,after-3.json",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var sides [2][]*loadtest.Result
			for i, files := range [][]string{base, next} {
				for _, f := range files {
					r, err := loadtest.ReadResult(f)
					if err != nil {
						return usage(err)
					}
					sides[i] = append(sides[i], r)
				}
			}
			diffs, err := loadtest.Compare(sides[0], sides[1])
			if err != nil {
				return usage(err)
			}
			return showCompared(c.OutOrStdout(), diffs, asJSON, all, check)
		},
	}
	fl := c.Flags()
	fl.StringSliceVar(&base, "base", nil, "results of the one side")
	fl.StringSliceVar(&next, "new", nil, "results of the other")
	fl.BoolVar(&asJSON, "json", false, "print JSON")
	fl.BoolVar(&all, "all", false, "print what is within noise, too")
	fl.BoolVar(&check, "check", false, "exit with 5 where a figure is worse by more than noise")
	return c
}

func showCompared(out io.Writer, diffs []loadtest.Difference, asJSON, all, check bool) error {
	worse := 0
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tpath\tfigure\tbase\tnew\tnoise\tverdict\t")
	shown := 0
	for _, d := range diffs {
		if d.Verdict == loadtest.Worse {
			worse++
		}
		if d.Verdict == loadtest.WithinNoise && !all {
			continue
		}
		shown++
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%s\t\n", d.Class, d.Path, d.Metric, d.Medians[0], d.Medians[1], d.Noise, d.Verdict)
	}
	switch {
	case asJSON:
		if err := json.NewEncoder(out).Encode(diffs); err != nil {
			return err
		}
	case shown == 0:
		fmt.Fprintf(out, "%d figures, none differs by more than noise\n", len(diffs))
	default:
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if check && worse > 0 {
		return &status{ExitWorse, fmt.Errorf("%d figures are worse by more than noise", worse)}
	}
	return nil
}
