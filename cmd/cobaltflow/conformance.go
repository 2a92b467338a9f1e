package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cobaltflow/internal/conformance"
)

// conformanceCommand tests a server's conformance to a protocol.
func conformanceCommand() *cobra.Command {
	c := &cobra.Command{Use: "conformance", Short: "Test a server's conformance to a protocol, over real sockets"}
	var faktory conformance.FaktoryServer
	faktoryCommand := &cobra.Command{
		Use: "faktory ADDRESS", Short: "Test a Faktory server against the protocol's public specification", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			faktory.Address = args[0]
			if _, failed := conformance.Report(c.OutOrStdout(), conformance.RunFaktory(faktory)); failed > 0 {
				return fmt.Errorf("%d cases failed", failed)
			}
			return nil
		},
	}
	faktoryCommand.Flags().StringVar(&faktory.Password, "password", "", "the server's password")
	faktoryCommand.Flags().StringVar(&faktory.Jobtype, "jobtype", "conformance", "a jobtype that the server accepts, of a class that may be retried")
	faktoryCommand.Flags().BoolVar(&faktory.AllowsFlush, "flush", false, "the server allows FLUSH and may lose all of its jobs")
	var http2 conformance.HTTP2Server
	http2Command := &cobra.Command{
		Use: "http2 ADDRESS", Short: "Test an HTTP/2 server without TLS against RFC 9113 and RFC 7541", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			http2.Address = args[0]
			if _, failed := conformance.Report(c.OutOrStdout(), conformance.RunHTTP2(http2)); failed > 0 {
				return fmt.Errorf("%d cases failed", failed)
			}
			return nil
		},
	}
	http2Command.Flags().StringVar(&http2.Path, "path", "/-/ready", "a `path` that answers GET with 200")
	c.AddCommand(faktoryCommand, http2Command)
	return c
}
