package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltflow/internal/scale"
	"cobaltflow/internal/scale/result"
)

// selfLabel is the label of this program's own build in the results.
const selfLabel = "now"

// scaleCommand measures scheduler processes with a growing number of workers.
func scaleCommand() *cobra.Command {
	var o scale.Options
	var programs, sections []string
	var out string
	var list, add bool
	c := &cobra.Command{
		Use: "scale", Short: "Measure resource use, growth and recovery of schedulers with tens of thousands of workers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if list {
				_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(scale.DescribeCases(), "\n"))
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			var err error
			if o.Programs, err = scalePrograms(programs, sections); err != nil {
				return err
			}
			o.Command, o.Log = strings.Join(os.Args[1:], " "), c.OutOrStdout()
			file, err := scale.Run(ctx, o)
			if out != "" && file != nil && len(file.Runs) > 0 {
				err = errors.Join(err, storeResults(out, file, add))
			}
			return err
		},
	}
	c.Flags().BoolVar(&o.FullSet, "full", false, "run all cases at all points, three times each")
	c.Flags().StringArrayVar(&o.Cases, "case", nil, "the `name` of a case; may be given several times")
	c.Flags().StringArrayVar(&programs, "program", nil, "`LABEL=PATH` of a build to measure; default: this one, as \"now\"; may be given several times")
	c.Flags().StringArrayVar(&sections, "own", nil, "`LABEL=FILE` with sections of the project's own file for the build of that label; may be given several times")
	c.Flags().IntVar(&o.RunsPerPoint, "runs", 0, "number of `runs` of each point; 0: three with --full, else one")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "`seed` of the first run of each point")
	c.Flags().StringVar(&o.Revision, "revision", revision(), "`revision` to record in the results")
	c.Flags().BoolVar(&o.Exclusive, "alone", false, "record that nothing else runs on the machine")
	c.Flags().StringVar(&out, "out", "", "`file` for the results as JSON; Parquet and charts are written next to it")
	c.Flags().BoolVar(&add, "add", false, "keep the runs that the file of --out holds already, and append the new ones")
	c.Flags().Float64SliceVar(&o.Points, "point", nil, "`values` of the parameter to measure at, instead of the case's own")
	c.Flags().BoolVar(&list, "list", false, "only list the cases")
	return c
}

// storeResults writes the results. With add it appends them to those that the file holds already.
func storeResults(path string, file *result.File, add bool) error {
	if add {
		earlier, err := result.Read(path)
		if err == nil {
			scale.Merge(earlier, file)
		} else if !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return scale.Store(path, file)
}

// splitLabel splits the value LABEL=VALUE of a flag. The error names the flag.
func splitLabel(flag, text string) (label, value string, err error) {
	label, value, found := strings.Cut(text, "=")
	if !found || label == "" || value == "" {
		return "", "", fmt.Errorf("--%s: %q is not LABEL=VALUE", flag, text)
	}
	return label, value, nil
}

// scalePrograms returns the builds to measure, with the sections of their own configuration files.
func scalePrograms(programs, sections []string) (list []scale.Program, err error) {
	for _, text := range programs {
		label, path, err := splitLabel("program", text)
		if err != nil {
			return nil, err
		}
		list = append(list, scale.Program{Label: label, Path: path})
	}
	if len(list) == 0 {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		list = []scale.Program{{Label: selfLabel, Path: self}}
	}
	for _, text := range sections {
		label, path, err := splitLabel("own", text)
		if err != nil {
			return nil, err
		}
		at := slices.IndexFunc(list, func(p scale.Program) bool { return p.Label == label })
		if at < 0 {
			return nil, fmt.Errorf("--own: no --program is labelled %q", label)
		}
		if list[at].Sections, err = os.ReadFile(path); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// revision returns the VCS revision that this program was built from; empty if the build did not record it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}
