package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/measure"
)

// measureCommand measures a gateway process under load.
func measureCommand() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure a gateway on one core, under load from the other cores"}
	var faktory measure.FaktoryOptions
	faktoryCommand := &cobra.Command{
		Use: "faktory", Short: "Measure cycles, bulk pushes, latency, memory and isolation of the Faktory front, as Markdown", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return measure.RunFaktory(ctx, c.OutOrStdout(), faktory)
		},
	}
	faktoryCommand.Flags().StringVar(&faktory.Binary, "binary", "", "the `program` to measure; default: this one")
	faktoryCommand.Flags().StringVar(&faktory.EarlierBinary, "old", "", "an earlier `program`, from before cobaltflow.json, to measure for comparison")
	faktoryCommand.Flags().IntVar(&faktory.Core, "core", 0, "the `core` that the gateway runs on")
	faktoryCommand.Flags().Float64Var(&faktory.Seconds, "seconds", 5, "`seconds` of each measurement")
	faktoryCommand.Flags().StringVar(&faktory.Parts, "only", "", "`parts`: of cycles, bulk, latency, memory, held, flood")
	var http measure.HTTPOptions
	httpCommand := &cobra.Command{
		Use: "http", Short: "Compare HTTP/1.1 and HTTP/2 by connections, by memory and under attack, as Markdown", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return measure.RunHTTP(ctx, c.OutOrStdout(), http)
		},
	}
	httpCommand.Flags().StringVar(&http.Binary, "binary", "", "the `program` to measure; default: this one")
	httpCommand.Flags().StringVar(&http.EarlierBinary, "old", "", "an earlier `program`, from before cobaltflow.json, to measure for comparison")
	httpCommand.Flags().IntVar(&http.Core, "core", 0, "the `core` that the gateway runs on")
	httpCommand.Flags().Float64Var(&http.Seconds, "seconds", 3, "`seconds` of each measurement")
	httpCommand.Flags().StringVar(&http.Parts, "only", "", "`parts`: of fronts, conns, memory, attacks")
	proxy := &cobra.Command{Use: "reverse-proxy ADDRESS TO", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return measure.ServeReverseProxy(args[0], args[1]) }}
	c.AddCommand(faktoryCommand, httpCommand, hollowCommand(), proxy, withCapacityPage(scaleCommand()))
	return c
}
