package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cobaltflow/internal/conformance"
)

func conformanceCommand() *cobra.Command {
	c := &cobra.Command{Use: "conformance", Short: "Hold a server to a protocol, over real sockets"}
	var s conformance.Faktory
	fk := &cobra.Command{
		Use: "faktory ADDRESS", Short: "Hold a server of the Faktory work protocol to its public description", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s.Address = args[0]
			if _, failed := conformance.Report(c.OutOrStdout(), conformance.RunFaktory(s)); failed > 0 {
				return fmt.Errorf("%d cases failed", failed)
			}
			return nil
		},
	}
	fk.Flags().StringVar(&s.Password, "password", "", "the server's password")
	fk.Flags().StringVar(&s.Jobtype, "jobtype", "conformance", "a jobtype that the server takes, of a class that may run again")
	fk.Flags().BoolVar(&s.Flush, "flush", false, "the server allows FLUSH and may lose all it has")
	var h conformance.HTTP2
	h2 := &cobra.Command{
		Use: "http2 ADDRESS", Short: "Hold a server of HTTP/2 without TLS to RFC 9113 and RFC 7541", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			h.Address = args[0]
			if _, failed := conformance.Report(c.OutOrStdout(), conformance.RunHTTP2(h)); failed > 0 {
				return fmt.Errorf("%d cases failed", failed)
			}
			return nil
		},
	}
	h2.Flags().StringVar(&h.Path, "path", "/-/ready", "a `path` that a GET gets 200 for")
	c.AddCommand(fk, h2)
	return c
}
