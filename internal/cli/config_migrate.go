package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"onyxstream/internal/migrate"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/tomlfile"
)

const (
	maxConfigBytes   = 16 << 20
	reportJSONIndent = "  "
	maxValueWidth    = 40 // characters of a value in the report table
)

// migration holds the arguments and flags of config migrate.
type migration struct {
	oldPath   string
	shapePath string
	newPath   string
	dryRun    bool
	force     bool
	json      bool
}

// migrationReport is the output of config migrate --json.
type migrationReport struct {
	Fields  []migrate.ReportLine `json:"fields"`
	Written bool                 `json:"written"`
}

func configCommand() *cobra.Command {
	return group("config", "Work with the configuration of a node", "", configMigrateCommand())
}

func configMigrateCommand() *cobra.Command {
	var m migration
	c := &cobra.Command{
		Use:   "migrate OLD --to SHAPE -o NEW",
		Short: "Convert a node's configuration for another deployment",
		Long: "migrate converts OLD, a node's JSON configuration, for another deployment. SHAPE is a TOML file that describes this\n" +
			"deployment, such as examples/shape.toml. migrate writes the result to NEW and reports what happened to each field.\n" +
			"OLD is never changed. NEW is written atomically, after it has passed the validation of a node.",
		Example: "  onyxstream config migrate n1.json --to shape.toml --dry-run\n" +
			"  onyxstream config migrate n1.json --to shape.toml -o n1-new.json",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m.oldPath = args[0]
			return m.run(c.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.StringVar(&m.shapePath, "to", "", "TOML file that describes the new deployment")
	flags.StringVarP(&m.newPath, "output", "o", "", "file for the new configuration")
	flags.BoolVar(&m.dryRun, "dry-run", false, "print the report and write nothing")
	flags.BoolVar(&m.force, "force", false, "overwrite NEW if it exists")
	flags.BoolVar(&m.json, "json", false, "print the report as JSON")
	return c
}

func (m *migration) run(stdout io.Writer) error {
	if m.shapePath == "" || m.newPath == "" && !m.dryRun {
		return usageError(errors.New("--to and -o are required; with --dry-run only --to is"))
	}
	var shape migrate.Shape
	shapeText, err := tomlfile.Read(m.shapePath, &shape)
	if err != nil {
		return err
	}
	oldText, mode, err := m.readOld()
	if err != nil {
		return err
	}
	newText, report, err := migrate.Run(oldText, shape)
	if err != nil {
		return m.locate(err, shapeText)
	}
	if err := nodeconfig.Check(oldText); err != nil {
		return &tomlfile.Error{File: m.oldPath, Err: err}
	}
	if err := nodeconfig.Check(newText); err != nil {
		return &tomlfile.Error{File: m.shapePath, Err: fmt.Errorf("the converted configuration is invalid: %w", err)}
	}
	if !m.dryRun {
		if err := m.writeNew(newText, mode); err != nil {
			return err
		}
	}
	return m.print(stdout, report)
}

// locate adds the file and the line to an error from migrate.Run.
func (m *migration) locate(err error, shapeText []byte) error {
	var shapeError *tomlfile.FieldError
	if errors.As(err, &shapeError) {
		return tomlfile.AddLocation(m.shapePath, shapeText, err)
	}
	var oldError *migrate.Error
	if errors.As(err, &oldError) {
		return &tomlfile.Error{File: m.oldPath, Line: oldError.Line, Key: oldError.Field, Err: oldError.Err}
	}
	return err
}

// readOld returns the old configuration and the permissions of its file.
func (m *migration) readOld() ([]byte, os.FileMode, error) {
	file, err := os.Open(m.oldPath)
	if err != nil {
		return nil, 0, usageError(err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, 0, usageError(err)
	}
	if !info.Mode().IsRegular() {
		return nil, 0, usageError(fmt.Errorf("%s: not a regular file", m.oldPath))
	}
	text, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	if err == nil && len(text) > maxConfigBytes {
		err = fmt.Errorf("%s: larger than %d bytes, not a node configuration", m.oldPath, maxConfigBytes)
	}
	return text, info.Mode().Perm(), usageError(err)
}

// writeNew writes the new configuration atomically, with the permissions of the old configuration because both
// contain the same secrets.
func (m *migration) writeNew(text []byte, mode os.FileMode) error {
	if err := m.checkTarget(); err != nil {
		return err
	}
	err := renameio.WriteFile(m.newPath, text, mode, renameio.WithStaticPermissions(mode))
	if err != nil {
		return fmt.Errorf("write %s: %w", m.newPath, err)
	}
	return nil
}

// checkTarget returns an error if the new file is the old file, or if it exists and --force is not set.
func (m *migration) checkTarget() error {
	newInfo, err := os.Stat(m.newPath)
	if err != nil {
		return nil // the write reports any other problem with the path
	}
	oldInfo, err := os.Stat(m.oldPath)
	if err == nil && os.SameFile(oldInfo, newInfo) {
		return usageError(fmt.Errorf("%s: same file as the old configuration, which must not be changed", m.newPath))
	}
	if !m.force {
		return usageError(fmt.Errorf("%s: file exists; use --force to overwrite it", m.newPath))
	}
	return nil
}

func (m *migration) print(stdout io.Writer, report []migrate.ReportLine) error {
	if m.json {
		return printJSON(stdout, migrationReport{Fields: report, Written: !m.dryRun}, reportJSONIndent)
	}
	table := newTable(stdout)
	fmt.Fprintln(table, "FIELD\tACTION\tOLD\tNEW\tREASON")
	for _, line := range report {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", line.Field, line.Status, truncate(line.Old), truncate(line.New), line.Reason)
	}
	if m.dryRun {
		fmt.Fprintln(table, "nothing was written")
	}
	return table.Flush()
}

// truncate shortens a value for the report table. With --json values are printed in full.
func truncate(text string) string {
	runes := []rune(text)
	if len(runes) <= maxValueWidth {
		return text
	}
	return string(runes[:maxValueWidth-1]) + "…"
}
