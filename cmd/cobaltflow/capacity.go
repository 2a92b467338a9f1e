package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"cobaltflow/internal/scale/capacity"
	"cobaltflow/internal/scale/result"
)

// capacityPage holds the flags that generate the capacity page from existing results.
type capacityPage struct {
	path    string
	targets string
	results []string
}

// withCapacityPage adds the flags of the capacity page to the scale command. With --page nothing is measured.
func withCapacityPage(scale *cobra.Command) *cobra.Command {
	var page capacityPage
	scale.Flags().StringVar(&page.path, "page", "", "write the capacity page to `FILE` from --results and --targets, and measure nothing")
	scale.Flags().StringArrayVar(&page.results, "results", nil, "a results `FILE` for the page; may be given several times")
	scale.Flags().StringVar(&page.targets, "targets", "docs/measurements/scale-targets.json", "the targets `FILE` for the page")
	measure := scale.RunE
	scale.RunE = func(c *cobra.Command, args []string) error {
		switch {
		case page.path != "":
			return page.write()
		case len(page.results) > 0:
			return errors.New("--results: only with --page")
		}
		return measure(c, args)
	}
	return scale
}

// write generates the page. The file is written only if the whole page was generated.
func (p *capacityPage) write() error {
	if len(p.results) == 0 {
		return errors.New("--results: missing")
	}
	targets, err := capacity.ReadTargets(p.targets)
	if err != nil {
		return fmt.Errorf("--targets: %w", err)
	}
	files := make([]*result.File, len(p.results))
	for i, path := range p.results {
		if files[i], err = result.Read(path); err != nil {
			return fmt.Errorf("--results: %w", err)
		}
	}
	var text strings.Builder
	if err := capacity.Write(&text, targets, files...); err != nil {
		return err
	}
	return os.WriteFile(p.path, []byte(text.String()), 0o644)
}
