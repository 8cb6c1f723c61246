package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"onyxstream/internal/migrate"
	"onyxstream/internal/nodeconfig"
	"onyxstream/internal/tomlfile"
)

// mostConfig bounds a configuration that is read: one that is larger is none.
const mostConfig = 16 << 20

// migration is a call of config migrate.
type migration struct {
	old, shape, out    string
	dry, force, asJSON bool
}

func configCommand() *cobra.Command {
	var m migration
	c := &cobra.Command{
		Use: "migrate OLD --to SHAPE -o NEW", Short: "Write the counterpart of a node's configuration for another deployment",
		Long: "migrate reads OLD, a node's JSON configuration, and SHAPE, a TOML file that names what OLD can't know\n" +
			"(examples/shape.toml), writes the counterpart of OLD as NEW and reports what became of each field.\n" +
			"OLD is never changed; NEW is checked as a node would check it before it takes its place, whole or not at all.",
		Example: "  onyxstream config migrate n1.json --to shape.toml --dry-run\n" +
			"  onyxstream config migrate n1.json --to shape.toml -o n1-new.json",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m.old = args[0]
			return m.run(c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&m.shape, "to", "", "file of the new shape, TOML")
	c.Flags().StringVarP(&m.out, "output", "o", "", "where the new configuration goes")
	c.Flags().BoolVar(&m.dry, "dry-run", false, "report, and write nothing")
	c.Flags().BoolVar(&m.force, "force", false, "write NEW also where it exists")
	c.Flags().BoolVar(&m.asJSON, "json", false, "report as JSON")
	return group("config", "A node's configuration", c)
}

func (m *migration) run(out io.Writer) error {
	if m.shape == "" || m.out == "" && !m.dry {
		return usage(errors.New("--to names the new shape and -o the new file; --dry-run needs no -o"))
	}
	var shape migrate.Shape
	shapeText, err := tomlfile.Read(m.shape, &shape)
	if err != nil {
		return err
	}
	old, mode, err := m.read()
	if err != nil {
		return err
	}
	text, report, err := migrate.Run(old, shape)
	var field *tomlfile.FieldError
	var wrong *migrate.Error
	switch {
	case errors.As(err, &field):
		return tomlfile.Place(m.shape, shapeText, err)
	case errors.As(err, &wrong):
		return &tomlfile.Error{File: m.old, Line: wrong.Line, Key: wrong.Field, Err: wrong.Err}
	case err != nil:
		return err
	}
	if err := nodeconfig.Check(old); err != nil {
		return &tomlfile.Error{File: m.old, Err: err}
	}
	if err := nodeconfig.Check(text); err != nil {
		return &tomlfile.Error{File: m.shape, Err: fmt.Errorf("a node would not start with what it makes: %w", err)}
	}
	if !m.dry {
		if err := m.write(text, mode); err != nil {
			return err
		}
	}
	return m.tell(out, report)
}

// read reads the old configuration.
func (m *migration) read() ([]byte, os.FileMode, error) {
	f, err := os.Open(m.old)
	if err != nil {
		return nil, 0, usage(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s: no regular file", m.old)
	}
	if err != nil {
		return nil, 0, usage(err)
	}
	text, err := io.ReadAll(io.LimitReader(f, mostConfig+1))
	if err == nil && len(text) > mostConfig {
		err = fmt.Errorf("%s: over %d bytes, no configuration of a node", m.old, mostConfig)
	}
	return text, info.Mode().Perm(), usage(err)
}

// write puts the new configuration in its place, with the rights of the old one, whose seed is not for everybody.
func (m *migration) write(text []byte, mode os.FileMode) error {
	if there, err := os.Stat(m.out); err == nil {
		if same, err := os.Stat(m.old); err == nil && os.SameFile(same, there) {
			return usage(fmt.Errorf("%s is the old configuration, which stays as it is", m.out))
		}
		if !m.force {
			return usage(fmt.Errorf("%s exists: --force writes it anew", m.out))
		}
	}
	if err := renameio.WriteFile(m.out, text, mode, renameio.WithStaticPermissions(mode)); err != nil {
		return fmt.Errorf("%s can't be written: %w", m.out, err)
	}
	return nil
}

func (m *migration) tell(out io.Writer, report []migrate.ReportLine) error {
	if m.asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(map[string]any{"written": !m.dry, "fields": report})
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FIELD\tWHAT\tOLD\tNEW\tWHY")
	for _, l := range report {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", l.Field, l.Status, short(l.Old), short(l.New), l.Reason)
	}
	if m.dry {
		fmt.Fprintln(w, "nothing was written")
	}
	return w.Flush()
}

// short keeps a value within a column; --json has it whole.
func short(s string) string {
	if r := []rune(s); len(r) > 40 {
		return string(r[:39]) + "…"
	}
	return s
}
