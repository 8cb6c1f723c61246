package cli

import (
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

func loadPlotCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:     "plot RESULT",
		Short:   "Plot a result as an HTML page",
		Example: "  onyxstream load plot after.json -o after.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			result, err := loadtest.ReadResult(args[0])
			if err != nil {
				return usageError(err)
			}
			if out == "" {
				out = strings.TrimSuffix(args[0], filepath.Ext(args[0])) + ".html"
			}
			return writePage(out, result)
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "file for the page (default: RESULT with the extension .html)")
	return c
}
