package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cobaltflow/deploy"
	"cobaltflow/internal/describe"
)

// checkCommand checks the configuration, or files with interface descriptions.
func checkCommand(load configLoader) *cobra.Command {
	return &cobra.Command{
		Use: "check [FILE...]", Short: "Check the configuration, or the OpenAPI and AsyncAPI descriptions in files",
		RunE: func(c *cobra.Command, files []string) error {
			for _, path := range files {
				text, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				kind, err := describe.Validate(text)
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: good, %s\n", path, kind)
			}
			if len(files) > 0 {
				return nil
			}
			conf, err := load()
			if err != nil {
				return err
			}
			for _, note := range conf.Warnings {
				fmt.Fprintln(c.OutOrStdout(), "note:", note)
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "configuration of %s: good, %d classes\n", conf.Name, len(conf.Names.Classes))
			return err
		},
	}
}

// describeCommand prints the descriptions that are built into the program.
func describeCommand() *cobra.Command {
	texts := map[string][]byte{"openapi": describe.OpenAPI, "asyncapi": describe.AsyncAPI, "config": deploy.Schema, "example": deploy.Example}
	return &cobra.Command{
		Use: "describe openapi|asyncapi|config|example", Short: "Print an interface description, or the configuration's schema or an example of it",
		ValidArgs: []string{"openapi", "asyncapi", "config", "example"},
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) != 1 || texts[args[0]] == nil {
				return errors.New("name one of openapi, asyncapi, config and example")
			}
			_, err := c.OutOrStdout().Write(texts[args[0]])
			return err
		},
	}
}
