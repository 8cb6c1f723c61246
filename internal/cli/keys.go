package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/pki"
)

// defaultValidity is how long certificates are valid by default.
const defaultValidity = 90 * 24 * time.Hour

func keysCommand() *cobra.Command {
	var dir string
	c := group("keys", "Manage a certificate authority for instances, agents and operators", "",
		keysCreateCommand(&dir),
		keysIssueCommand(&dir),
		keysRenewCommand(&dir),
		keysRevokeCommand(&dir),
		keysListCommand(&dir))
	c.PersistentFlags().StringVar(&dir, "dir", "keys", "the authority's directory")
	return c
}

func keysCreateCommand(dir *string) *cobra.Command {
	var name string
	c := &cobra.Command{
		Use:     "create",
		Short:   "Create a certificate authority in a directory",
		Example: "  onyxstream keys create --dir keys",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := pki.Create(*dir, name); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "created an authority in %s: keep its private key there, distribute its certificate\n", *dir)
			return nil
		},
	}
	c.Flags().StringVar(&name, "name", "onyxstream", "name of the authority")
	return c
}

func keysIssueCommand(dir *string) *cobra.Command {
	var role string
	var validity time.Duration
	c := &cobra.Command{
		Use:   "issue HOLDER",
		Short: "Issue a certificate",
		Long:  "issue writes HOLDER.crt and HOLDER.key. Roles: instance (a node; HOLDER is its name), operate (may read and submit commands), look (may only read).",
		Example: "  onyxstream keys issue n1 --role instance --dir keys\n" +
			"  onyxstream keys issue agent-1 --role operate --dir keys",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cert, err := pki.Issue(*dir, args[0], role, validity)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: role %s, valid until %s\n", args[0], role, cert.NotAfter.Format(time.DateOnly))
			return nil
		},
	}
	c.Flags().StringVar(&role, "role", pki.RoleViewer, "role of the holder: instance, operate or look")
	addValidityFlag(c, &validity)
	return c
}

func keysRenewCommand(dir *string) *cobra.Command {
	var validity time.Duration
	c := &cobra.Command{
		Use:   "renew HOLDER",
		Short: "Renew a holder's certificate; running programs reload it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cert, err := pki.Renew(*dir, args[0], validity)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: valid until %s\n", args[0], cert.NotAfter.Format(time.DateOnly))
			return nil
		},
	}
	addValidityFlag(c, &validity)
	return c
}

func addValidityFlag(c *cobra.Command, validity *time.Duration) {
	c.Flags().DurationVar(validity, "valid", defaultValidity, "validity of the certificate")
}

func keysRevokeCommand(dir *string) *cobra.Command {
	return &cobra.Command{
		Use:   "revoke HOLDER",
		Short: "Add a holder's certificate to the revocation list",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := pki.Revoke(*dir, args[0]); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "revoked %s in %s/revoked: distribute this file\n", args[0], *dir)
			return nil
		},
	}
}

func keysListCommand(dir *string) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the authority's certificates",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			certs, revoked, err := pki.List(*dir)
			if err != nil {
				return err
			}
			table := newTable(c.OutOrStdout())
			fmt.Fprintln(table, "HOLDER\tROLE\tVALID UNTIL\tREVOKED")
			for _, cert := range certs {
				role := pki.RoleOf(cert)
				if cert.IsCA {
					role = "authority"
				}
				fmt.Fprintf(table, "%s\t%s\t%s\t%v\n",
					cert.Subject.CommonName, role, cert.NotAfter.Format(time.DateOnly), revoked[pki.Serial(cert)])
			}
			return table.Flush()
		},
	}
}
