// Package capacity writes the capacity page, docs/CAPACITY.md: what each role of a fleet needs at the planned size,
// compared with its budget, and the mechanism that serves the role. Command "measure scale --page" calls it.
//
// Every figure is computed from two inputs: the results files of the scale measurements (package result) and a targets
// file, which holds the sizes, the budgets, the roles with their rows, and the mechanisms. The package measures and
// fits nothing and reads no clock, so the same inputs give the same bytes.
package capacity

import (
	_ "embed"
	"fmt"
	"io"
	"strings"
	"text/template"

	"cobaltflow/internal/scale/result"
)

//go:embed page.md.tmpl
var pageTemplate string

// Error reports a fault in an input and the key at which it is, such as "targets.roles.2.rows.0.unit" or
// "results.1.slopes.4.program".
type Error struct{ Key, Text string }

func (e *Error) Error() string { return e.Key + ": " + e.Text }

// errorAt returns an *Error for a key with a formatted text.
func errorAt(key, format string, arguments ...any) error {
	return &Error{Key: key, Text: fmt.Sprintf(format, arguments...)}
}

// Write writes the page as Markdown. It returns an *Error if the targets or the results are invalid, and writes nothing
// in that case.
func Write(w io.Writer, targets *Targets, results ...*result.File) error {
	if err := targets.check(); err != nil {
		return err
	}
	if err := checkResults(results); err != nil {
		return err
	}
	view := newView(targets, results)
	functions := template.FuncMap{"cell": escapeCell, "join": strings.Join}
	page, err := template.New("page").Funcs(functions).Parse(pageTemplate)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := page.Execute(&text, view); err != nil {
		return err
	}
	_, err = io.WriteString(w, text.String())
	return err
}

// escapeCell escapes a text for a cell of a Markdown table.
func escapeCell(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, "|", "\\|"), "\n", " ")
}
