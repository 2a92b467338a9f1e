// Command cobaltflow-serve is "cobaltflow serve" alone. It links neither the other commands nor what these need, so that a
// scheduler's process maps and initialises less.
package main

import (
	"flag"
	"fmt"
	"os"

	"cobaltflow/internal/config"
	"cobaltflow/internal/serve"
)

func main() {
	file := flag.String("config", config.File, "the project's own configuration `file`")
	flag.Parse()
	if err := run(*file); err != nil {
		fmt.Fprintln(os.Stderr, "cobaltflow-serve:", err)
		os.Exit(1)
	}
}

// run serves until the process is told to end.
func run(file string) error {
	if flag.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", flag.Arg(0))
	}
	isNamed := false
	flag.Visit(func(f *flag.Flag) { isNamed = isNamed || f.Name == "config" })
	load := func() (*config.Config, error) { return config.Load(os.Getenv, file, isNamed) }
	return serve.Run(load, os.Stdout)
}
