package cli

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// newTable returns a writer of tab-separated columns that are aligned to the left. Flush must follow.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0) }

// newNumberTable returns a writer of columns that are aligned to the right. Flush must follow.
func newNumberTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
}

// printJSON prints a value with an indent for each level.
func printJSON(w io.Writer, v any, indent string) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", indent)
	return encoder.Encode(v)
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// orDash returns a dash for an empty text.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
