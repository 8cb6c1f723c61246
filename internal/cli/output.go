package cli

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// newTable returns a writer that aligns tab-separated columns to the left. The caller must call Flush.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0) }

// newNumberTable returns a writer that aligns tab-separated columns to the right. The caller must call Flush.
func newNumberTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
}

// printJSON prints a value as JSON, indented by indent for each level.
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

// orDash returns text, or a dash if it is empty.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
