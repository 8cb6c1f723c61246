package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

// comparison holds the flags of load compare.
type comparison struct {
	base      []string
	candidate []string
	json      bool
	all       bool
	check     bool
}

func loadCompareCommand() *cobra.Command {
	var cmp comparison
	c := &cobra.Command{
		Use:   "compare --base RESULT... --new RESULT...",
		Short: "Compare results and show significant differences",
		Long: "compare compares runs of the same load. With fewer than three runs on either side it shows the figures without a\n" +
			"verdict. A difference is significant if it exceeds twice its standard error and the ranges of the two sides don't\n" +
			"overlap.\n\n" + exitStatusHelp,
		Example: "  onyxstream load run steady.toml -o before.json --repeat 5\n" +
			"  onyxstream load compare --base before-1.json,before-2.json,before-3.json --new after-1.json,after-2.json,after-3.json",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return cmp.run(c.OutOrStdout()) },
	}
	flags := c.Flags()
	flags.StringSliceVar(&cmp.base, "base", nil, "result files of the baseline")
	flags.StringSliceVar(&cmp.candidate, "new", nil, "result files to compare with the baseline")
	flags.BoolVar(&cmp.json, "json", false, "print JSON")
	flags.BoolVar(&cmp.all, "all", false, "print insignificant differences as well")
	flags.BoolVar(&cmp.check, "check", false, "exit with 5 if a figure is significantly worse")
	return c
}

func (c *comparison) run(stdout io.Writer) error {
	base, err := readResults(c.base)
	if err != nil {
		return err
	}
	candidate, err := readResults(c.candidate)
	if err != nil {
		return err
	}
	differences, err := loadtest.Compare(base, candidate)
	if err != nil {
		return usageError(err)
	}
	if err := c.print(stdout, differences); err != nil {
		return err
	}
	worse := 0
	for _, difference := range differences {
		if difference.Verdict == loadtest.Worse {
			worse++
		}
	}
	if c.check && worse > 0 {
		return &exitError{ExitRegression, fmt.Errorf("%d figures are significantly worse", worse)}
	}
	return nil
}

func readResults(paths []string) (results []*loadtest.Result, err error) {
	for _, path := range paths {
		result, err := loadtest.ReadResult(path)
		if err != nil {
			return nil, usageError(err)
		}
		results = append(results, result)
	}
	return results, nil
}

func (c *comparison) print(stdout io.Writer, differences []loadtest.Difference) error {
	if c.json {
		return json.NewEncoder(stdout).Encode(differences)
	}
	table := newNumberTable(stdout)
	fmt.Fprintln(table, "class\tpath\tfigure\tbase\tnew\tnoise\tverdict\t")
	shown := 0
	for _, d := range differences {
		if d.Verdict == loadtest.WithinNoise && !c.all {
			continue
		}
		shown++
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%s\t\n", d.Class, d.Path, d.Metric, d.Medians[0], d.Medians[1], d.Noise, d.Verdict)
	}
	if shown == 0 {
		fmt.Fprintf(stdout, "%d figures, no significant differences\n", len(differences))
		return nil
	}
	return table.Flush()
}
