package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/pki"
)

func keysCommand() *cobra.Command {
	var dir, name, role string
	var valid time.Duration
	const days = 24 * time.Hour
	create := &cobra.Command{Use: "create", Short: "Make an authority in a folder", Args: cobra.NoArgs,
		Example: "  onyxstream keys create --dir keys",
		RunE: func(c *cobra.Command, _ []string) error {
			if err := pki.Create(dir, name); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "an authority is in %s; keep its key there, give its certificate to all\n", dir)
			return nil
		}}
	create.Flags().StringVar(&name, "name", "onyxstream", "name of the authority")
	issue := &cobra.Command{Use: "issue HOLDER", Short: "Issue a certificate", Args: cobra.ExactArgs(1),
		Long: "issue writes HOLDER.crt and HOLDER.key. Roles: instance (a node; the holder is its name), operate, look.",
		Example: "  onyxstream keys issue n1 --role instance --dir keys\n" +
			"  onyxstream keys issue agent-1 --role operate --dir keys",
		RunE: func(c *cobra.Command, args []string) error {
			cert, err := pki.Issue(dir, args[0], role, valid)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: role %s, valid until %s\n", args[0], role, cert.NotAfter.Format(time.DateOnly))
			return nil
		}}
	issue.Flags().StringVar(&role, "role", pki.RoleViewer, "what the holder may do")
	renew := &cobra.Command{Use: "renew HOLDER", Short: "Issue a holder's certificate anew; running programs take it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cert, err := pki.Renew(dir, args[0], valid)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: valid until %s\n", args[0], cert.NotAfter.Format(time.DateOnly))
			return nil
		}}
	revoke := &cobra.Command{Use: "revoke HOLDER", Short: "Have a holder's certificate count no more, where the list is given", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := pki.Revoke(dir, args[0]); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is revoked in %s/revoked: give the file to all\n", args[0], dir)
			return nil
		}}
	list := &cobra.Command{Use: "list", Short: "List the certificates of a folder", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			certs, revoked, err := pki.List(dir)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "HOLDER\tROLE\tVALID UNTIL\tREVOKED")
			for _, x := range certs {
				kind := pki.RoleOf(x)
				if x.IsCA {
					kind = "authority"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\n", x.Subject.CommonName, kind, x.NotAfter.Format(time.DateOnly), revoked[pki.Serial(x)])
			}
			return w.Flush()
		}}
	for _, c := range []*cobra.Command{issue, renew} {
		c.Flags().DurationVar(&valid, "valid", 90*days, "for how long")
	}
	c := group("keys", "A small authority: certificates for instances, agents and people", create, issue, renew, revoke, list)
	c.PersistentFlags().StringVar(&dir, "dir", "keys", "the authority's folder")
	return c
}
