package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

const (
	maxRepeat      = 1000
	loadJSONIndent = " "
	clearLine      = "\r\x1b[K" // terminal control sequence
)

// loadFlags are the flags of load run and load replay.
type loadFlags struct {
	targets []string // addresses of running nodes

	// Paths of output files; "" for none.
	resultPath  string
	pagePath    string
	hdrPath     string
	ledgerPath  string
	nodeLogPath string
	tracePath   string

	seed   uint64 // 0 for the scenario's
	repeat int

	// Output on the terminal.
	json  bool
	quiet bool
}

func (f *loadFlags) addFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.StringArrayVar(&f.targets, "target", nil, "address of a running node; may be repeated (default: start the scenario's fleet)")
	flags.StringVarP(&f.resultPath, "out", "o", "", "file for the result as JSON")
	flags.StringVar(&f.pagePath, "page", "", "file for the result as an HTML page")
	flags.StringVar(&f.hdrPath, "hdr", "", "file for the latencies of served requests in HdrHistogram's text format")
	flags.StringVar(&f.ledgerPath, "ledger", "", "file for the events that the fake servers recorded, as JSON Lines")
	flags.StringVar(&f.nodeLogPath, "node-log", "", "file for the nodes' logs")
	flags.StringVar(&f.tracePath, "record", "", "file for the requests as a trace; compressed if its name ends in .gz")
	flags.Uint64Var(&f.seed, "seed", 0, "seed of the load (default: the scenario's)")
	flags.IntVar(&f.repeat, "repeat", 1, "number of runs; the names of result files are numbered")
	flags.BoolVar(&f.json, "json", false, "print the result as JSON instead of a table")
	flags.BoolVarP(&f.quiet, "quiet", "q", false, "print no progress")
}

// run runs a scenario --repeat times and writes each result.
func (f *loadFlags) run(c *cobra.Command, scenario *loadtest.Scenario, text []byte, options loadtest.PlayOptions) error {
	if f.repeat < 1 || f.repeat > maxRepeat {
		return usageError(fmt.Errorf("--repeat: %d out of range: want 1 to %d", f.repeat, maxRepeat))
	}
	if f.seed != 0 {
		scenario.Seed = f.seed
	}
	if scenario.Fleet == nil && len(f.targets) == 0 {
		return usageError(errors.New("the scenario has no fleet: use --target to name running nodes"))
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	options.Program = program
	options.Targets = f.targets
	options.Record = f.tracePath
	closeFiles, err := f.openOutputs(&options)
	defer closeFiles()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(c)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal terminates the process at once
	if !f.quiet && isTerminal(c.ErrOrStderr()) {
		options.OnProgress = progressPrinter(c.ErrOrStderr())
	}
	for i := range f.repeat {
		if err := f.runOnce(ctx, c, scenario, text, options, i); err != nil {
			return err
		}
	}
	return nil
}

// openOutputs opens the files that are written during a run. The caller must call closeFiles, even after an error.
func (f *loadFlags) openOutputs(options *loadtest.PlayOptions) (closeFiles func(), err error) {
	var files []*os.File
	closeFiles = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, output := range []struct {
		path string
		into *io.Writer
	}{
		{f.nodeLogPath, &options.NodeLog},
		{f.ledgerPath, &options.Ledger},
	} {
		if output.path == "" {
			continue
		}
		file, err := os.Create(output.path)
		if err != nil {
			return closeFiles, err
		}
		files = append(files, file)
		*output.into = file
	}
	return closeFiles, nil
}

func (f *loadFlags) runOnce(
	ctx context.Context, c *cobra.Command, scenario *loadtest.Scenario, text []byte, options loadtest.PlayOptions, i int,
) error {
	result, err := loadtest.Play(ctx, scenario, text, options)
	if options.OnProgress != nil {
		fmt.Fprint(c.ErrOrStderr(), clearLine)
	}
	if result == nil {
		return err
	}
	if err := errors.Join(err, f.writeResult(c.OutOrStdout(), result, i)); err != nil {
		return err
	}
	switch {
	case result.Partial:
		return &exitError{ExitPartial, fmt.Errorf("partial result: %s", result.PartialReason)}
	case result.BehindReason != "":
		return &exitError{ExitGeneratorLate, errors.New(result.BehindReason)}
	}
	return nil
}

// numbered returns the path of an output file for the i-th run, counted from 0. It adds the number of the run to the path
// if there are several runs.
func (f *loadFlags) numbered(path string, i int) string {
	if f.repeat == 1 {
		return path
	}
	extension := filepath.Ext(path)
	return fmt.Sprintf("%s-%d%s", strings.TrimSuffix(path, extension), i+1, extension)
}

// writeResult writes the result of the i-th run to the files that the flags name, and prints it.
func (f *loadFlags) writeResult(stdout io.Writer, result *loadtest.Result, i int) error {
	var errs []error
	if f.resultPath != "" {
		errs = append(errs, result.Write(f.numbered(f.resultPath, i)))
	}
	if f.pagePath != "" {
		errs = append(errs, writePage(f.numbered(f.pagePath, i), result))
	}
	if f.hdrPath != "" {
		errs = append(errs, writeHDR(f.numbered(f.hdrPath, i), result))
	}
	if f.json {
		errs = append(errs, printJSON(stdout, result, loadJSONIndent))
	} else {
		errs = append(errs, printResult(stdout, result))
	}
	return errors.Join(errs...)
}

// progressPrinter returns a function that prints progress on a single line of a terminal, which it overwrites.
func progressPrinter(w io.Writer) func(loadtest.Progress) {
	return func(p loadtest.Progress) {
		fmt.Fprintf(w, clearLine+"%4.0f s  %d requests, %d served, %d rejected, %d failed; %d open; %.2f ms late",
			p.Elapsed.Seconds(), p.Started, p.Served, p.Rejected, p.Failed, p.Open, float64(p.Lateness.Microseconds())/1000)
	}
}
