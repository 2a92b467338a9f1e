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

func scaleCommand() *cobra.Command {
	var o scale.Options
	var programs, sections []string
	var out string
	var list, add bool
	c := &cobra.Command{
		Use: "scale", Short: "Schedulers before tens of thousands of workers: what they use, how it grows, and how they recover", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if list {
				_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(scale.Names(), "\n"))
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
	c.Flags().BoolVar(&o.Full, "full", false, "all cases at all points, three runs of each")
	c.Flags().StringArrayVar(&o.Cases, "case", nil, "the `name` of a case; may be given again")
	c.Flags().StringArrayVar(&programs, "program", nil, "`LABEL=PATH` of a build to measure; this one, as \"now\", where absent; may be given again")
	c.Flags().StringArrayVar(&sections, "own", nil, "`LABEL=FILE` with sections of the project's own file for the build of that label; may be given again")
	c.Flags().IntVar(&o.Runs, "runs", 0, "`runs` of each point; 0: three with --full, else one")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "`seed` of the first run of each point")
	c.Flags().StringVar(&o.Revision, "revision", revision(), "`revision` that the results are noted to be of")
	c.Flags().BoolVar(&o.Alone, "alone", false, "note that nothing else runs on the machine")
	c.Flags().StringVar(&out, "out", "", "`file` for the results as JSON; Parquet and charts are put beside it")
	c.Flags().BoolVar(&add, "add", false, "keep the runs that the file of --out holds already, before the new ones")
	c.Flags().Float64SliceVar(&o.Points, "point", nil, "`values` of the parameter to measure at, in the place of the case's own")
	c.Flags().BoolVar(&list, "list", false, "only list the cases")
	return c
}

// storeScale writes the results, behind those that stand in the file where they are to be kept.
func storeResults(path string, file *result.File, add bool) error {
	if add {
		earlier, err := result.Read(path)
		if err == nil {
			scale.Join(earlier, file)
		} else if !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return scale.Store(path, file)
}

// labelled is the value given for a label, as LABEL=VALUE.
func splitLabel(flag, text string) (label, value string, err error) {
	label, value, found := strings.Cut(text, "=")
	if !found || label == "" || value == "" {
		return "", "", fmt.Errorf("--%s: %q is not LABEL=VALUE", flag, text)
	}
	return label, value, nil
}

// scalePrograms gives the builds to measure, with the sections of their own files.
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
		if list[at].Own, err = os.ReadFile(path); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// revision is the one that this program was built from, as far as the build noted it.
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
