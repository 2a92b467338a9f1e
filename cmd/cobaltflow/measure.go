package main

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/measure"
)

// measureCommand measures a gateway process under load.
func measureCommand() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure a gateway on one core, under load from the other cores"}
	faktory := measurementCommand("faktory", "Measure cycles, bulk pushes, latency, memory and isolation of the Faktory front, as Markdown",
		5, "cycles, bulk, latency, memory, held, flood", measure.RunFaktory)
	http := measurementCommand("http", "Compare HTTP/1.1 and HTTP/2 by connections, by memory and under attack, as Markdown",
		3, "fronts, conns, memory, attacks", measure.RunHTTP)
	proxy := &cobra.Command{Use: "reverse-proxy ADDRESS TO", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return measure.ServeReverseProxy(args[0], args[1]) }}
	c.AddCommand(faktory, http, hollowCommand(), proxy, withCapacityPage(scaleCommand()))
	return c
}

// measurementCommand returns the command of a measurement that has the named parts and takes the given seconds for each figure.
func measurementCommand(use, short string, seconds float64, parts string, run func(context.Context, io.Writer, measure.Options) error) *cobra.Command {
	var options measure.Options
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return run(ctx, c.OutOrStdout(), options)
		},
	}
	c.Flags().StringVar(&options.Binary, "binary", "", "the `program` to measure; default: this one")
	c.Flags().StringVar(&options.EarlierBinary, "old", "", "an earlier `program`, from before cobaltflow.json, to measure for comparison")
	c.Flags().IntVar(&options.Core, "core", 0, "the `core` that the gateway runs on")
	c.Flags().Float64Var(&options.Seconds, "seconds", seconds, "`seconds` of each measurement")
	c.Flags().StringVar(&options.Parts, "only", "", "`parts`: of "+parts)
	return c
}
