package capacity

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/scale/result"
)

// loadInputs returns the synthetic targets and results of the tests.
func loadInputs(t *testing.T) (*Targets, *result.File) {
	t.Helper()
	targets, err := ReadTargets("testdata/targets.json")
	require.NoError(t, err)
	results, err := result.Read("testdata/results.json")
	require.NoError(t, err)
	return targets, results
}

func renderPage(t *testing.T, targets *Targets, results ...*result.File) string {
	t.Helper()
	var text strings.Builder
	require.NoError(t, Write(&text, targets, results...))
	return text.String()
}

// section returns the part of the page from a heading to the next one of the same level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, rest, found := strings.Cut(page, heading+"\n")
	require.True(t, found, heading)
	level := heading[:strings.Index(heading, " ")+1]
	text, _, _ := strings.Cut(rest, "\n"+level)
	return text
}

func TestFiguresAreSlopesTimesSizes(t *testing.T) {
	targets, results := loadInputs(t)
	scheduler := section(t, renderPage(t, targets, results), "### Scheduler")
	assert.Contains(t, scheduler, "| workers known | before | 30,000 × 1 KB | 30 MB |  |  | E1 |")
	assert.Contains(t, scheduler, "| at rest | before |  | 0.09 core | 0.03 core | over, ×3 | E2, ×3 outside the range |")
	assert.Contains(t, scheduler, "| with all tasks in hand | before |  | 460 MB | 200 MB | over, ×2.3 | E4, ×5 outside the range |")
}

func TestMeasuredPointReplacesALineThatDoesNotFit(t *testing.T) {
	targets, results := loadInputs(t)
	text := renderPage(t, targets, results)
	assert.Contains(t, section(t, text, "### Scheduler"), "| at rest | now |  | 0.03 core | 0.03 core | within, ×1 | E3 |")
	assert.Contains(t, section(t, text, "## Evidence"), "| E3 | real | workers | now | cpu_at_rest_cores | mean 0.03, 0.02 to 0.04 | measured point | workers 30,000 | 2 runs, 2 seeds |")
}

// A figure within the budget at a smaller size may exceed it at the planned one.
func TestBudgetIsNotComparedWithAFigureOfADistantSize(t *testing.T) {
	targets, results := loadInputs(t)
	row := &targets.Roles[0].Rows[3]
	row.Total.Figure.Use = UsePoint
	results.Runs = results.Runs[:5] // without the runs at the size itself, which failed
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Scheduler"),
		"| with all tasks in hand | before |  | 140 MB at tasks 4,000 | 200 MB | not told: ×0.7 there | E4, ×5 outside the range |")
}

// A case that was run at one size only has no line.
func TestMeasuredPointReplacesAMissingLine(t *testing.T) {
	targets, results := loadInputs(t)
	results.Slopes = results.Slopes[:2]
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Scheduler"), "| at rest | now |  | 0.03 core | 0.03 core | within, ×1 | E3 |")
}

// If the runs at the size itself failed, a figure of another size would hide that.
func TestPointIsUnknownIfAllRunsAtItsSizeFailed(t *testing.T) {
	targets, results := loadInputs(t)
	results.Runs = append(results.Runs, result.Run{Case: "gangs", Kind: result.Real, Seed: 3, Program: "today",
		Parameters: map[string]float64{"gang": 1024}, MissedReason: `too many: time=2000-01-01T00:00:00Z level=WARN msg="full"`})
	text := renderPage(t, targets, results)
	assert.Contains(t, section(t, text, "### Gangs"), "| tasks sent |  | 1,024 × | not measured |")
	assert.Contains(t, section(t, text, "## Not measured"), `| Gangs: tasks sent | now | missed at this size: too many: level=WARN msg="full" |`)
}

func TestBaseIsAddedToTheNeedOfTheItems(t *testing.T) {
	targets, results := loadInputs(t)
	row := &targets.Roles[0].Rows[3]
	row.Base, row.Total = &Term{Figure: &Source{Kind: result.Real, Case: "workers", Figure: "rss_bytes", Parameter: "workers", Use: UseIntercept}}, nil
	row.Count = &Term{Factors: []string{"tasks_in_hand"}}
	row.Each = &Term{Figure: &Source{Kind: result.Real, Case: "tasks", Figure: "rss_bytes", Parameter: "tasks", Use: UseSlope}}
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Scheduler"),
		"| memory | with all tasks in hand | before | 40 MB + 20,000 × 20 KB | 440 MB | 200 MB | over, ×2.2 | E1, E4 |")
}

func TestFigureDividedByAnotherFigure(t *testing.T) {
	targets, results := loadInputs(t)
	term := targets.Roles[1].Rows[1].Total
	term.Denominator = &Source{Kind: result.Real, Case: "gangs", Figure: "jobs", Parameter: "gang", Use: UsePoint, At: "gang"}
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Gangs"), "| tasks sent |  | 1,024 × | not measured |")
	for i := range results.Runs {
		if results.Runs[i].Case == "gangs" {
			results.Runs[i].Figures["jobs"] = 100
		}
	}
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Gangs"), "| tasks sent | now | 1,024 × 0.00391 | 4 at gang 128 |  |  | E5, E6, ×8 outside the range |")
	term.Denominator.Case = ""
	require.ErrorContains(t, Write(&strings.Builder{}, targets, results), "targets.roles.gangs.rows.gang_messages.total.over: case or figure is missing")
}

// The page must not show directories of the measured machine.
func TestCommandIsShownWithoutDirectories(t *testing.T) {
	targets, results := loadInputs(t)
	results.Command = "measure scale --program old=/a/b/cobaltflow --out ../c/results.json"
	assert.Contains(t, renderPage(t, targets, results), "| 1: `measure scale --program old=cobaltflow --out results.json` |")
}

func TestNearestPointShowsItsDistance(t *testing.T) {
	targets, results := loadInputs(t)
	gangs := section(t, renderPage(t, targets, results), "### Gangs")
	assert.Contains(t, gangs, "| tasks sent | now | 1,024 × 0.391 | 400 at gang 128 |  |  | E5, ×8 outside the range |")
}

func TestMissingResultIsReported(t *testing.T) {
	targets, results := loadInputs(t)
	text := renderPage(t, targets, results)
	assert.Contains(t, section(t, text, "### Gangs"), "| a gang |  |  | not measured |")
	unmeasured := section(t, text, "## Not measured")
	assert.Contains(t, unmeasured, `| Gangs: a gang | before, now | no result of cpu_seconds in the hollow case "gangs" |`)
	assert.Contains(t, unmeasured, `| Scheduler: list changes | before, now | no \| case |`)
	assert.Contains(t, unmeasured, `- real case "tasks", program "old", tasks 20,000: no descriptors left (2 runs)`)
}

func TestRankingNamesTheFirstMissingMechanism(t *testing.T) {
	targets, results := loadInputs(t)
	text := section(t, renderPage(t, targets, results), "## Furthest over budget, with no mechanism that carries it")
	before := section(t, text, "### before")
	assert.Contains(t, before, "The mechanism that is missing first, by the figures: **sharding**.")
	assert.Contains(t, before, "| 1 | ×3 | Scheduler: at rest | 0.09 core | 0.03 core | sharding |")
	assert.Contains(t, before, "| ×2.3 | Scheduler: with all tasks in hand | 460 MB | 200 MB | watch | works |")
	assert.Contains(t, section(t, text, "### now"), "None of the 1 rows that have a figure and a budget is over it without a mechanism.")
}

// Rows are ordered by how far they exceed their budget, whatever their order in the targets.
func TestRankingIsSortedByFactor(t *testing.T) {
	targets, results := loadInputs(t)
	targets.Roles[0].Rows[3].Mechanism = "reservation"
	results.Slopes[3].Slope *= 10
	before := section(t, renderPage(t, targets, results), "### before")
	assert.Contains(t, before, "first, by the figures: **reservation with lease**.")
	assert.Less(t, strings.Index(before, "with all tasks in hand"), strings.Index(before, "at rest"))
}

func TestNumberOfSchedulers(t *testing.T) {
	targets, results := loadInputs(t)
	text := section(t, renderPage(t, targets, results), "## How many schedulers")
	assert.Contains(t, text, "| memory | before | 600,000 × 20 KB / (200 MB − 70 MB) | E1, E4, ×3 outside the range |")
	assert.Contains(t, text, "| the planned one | before | 93 | memory | memory: 93 |") // 12 GB over 130 MB
	assert.Contains(t, text, "| a tenth | before | 8 | memory | memory: 8 |")           // 1.2 GB over 157 MB
	assert.Contains(t, text, "| the planned one | now | not measured |  | memory: not measured |")
}

func TestNoNumberOfSchedulersIfTheFixedNeedExceedsTheBudget(t *testing.T) {
	targets, results := loadInputs(t)
	results.Slopes[0].Intercept = 250e6
	text := section(t, renderPage(t, targets, results), "## How many schedulers")
	assert.Contains(t, text, "| the planned one | before | no number | memory: what each scheduler needs anyway is over the budget | memory: none |")
}

func TestEachOperatorNumberHasALine(t *testing.T) {
	targets, results := loadInputs(t)
	text := section(t, renderPage(t, targets, results), "## The operators' numbers")
	for _, size := range targets.Sizes {
		if size.FromOperators {
			assert.Contains(t, text, "\n| "+size.Text+" | ")
		}
	}
	assert.Contains(t, text, "| processor time of a scheduler | 0.03 core | Scheduler | 1 of 1 row measured. furthest: at rest, within, ×1 (now). partial: sharding |")
}

func TestSameInputsGiveTheSameBytes(t *testing.T) {
	targets, results := loadInputs(t)
	first := renderPage(t, targets, results)
	for range 5 {
		require.Equal(t, first, renderPage(t, targets, results))
	}
}

func TestInvalidTargetsAreRejectedWithTheirKey(t *testing.T) {
	good, err := os.ReadFile("testdata/targets.json")
	require.NoError(t, err)
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", `"constraints"`, `"constraint"`, `targets: the key "constraint" is not known`},
		{"wrong type", `"value": 30000`, `"value": "many"`, "targets.sizes.value: a string is not what is wanted there"},
		{"version", `"version": 1`, `"version": 2`, "targets.version: 2 is not 1"},
		{"size twice", `"key": "schedulers"`, `"key": "workers"`, "targets.sizes.workers: stands twice"},
		{"size of a later one", `"per": ["schedulers"]`, `"per": ["gang"]`, `targets.sizes.tasks_in_hand.per: there is no size "gang" before it`},
		{"unit", `"unit": "cores", "operator"`, `"unit": "cups", "operator"`, `targets.sizes.control_cpu.unit: "cups" is not a unit`},
		{"value and of", `"of": ["tasks_running"],`, `"of": ["tasks_running"], "value": 1,`, "targets.sizes.tasks_in_hand: either value or of is needed"},
		{"negative value", `"value": 30000`, `"value": -3`, "targets.sizes.workers.value: -3 is not over 0"},
		{"status", `"status": "works"`, `"status": "fine"`, `targets.mechanisms.watch.status: "fine" is not one of`},
		{"earlier", `"before": "missing"`, `"before": "bad"`, `targets.mechanisms.sharding.earlier.before: "bad" is not one of`},
		{"missing without options", `, "options": [{"text": "Another."}]`, ``, "targets.mechanisms.reservation.options: a mechanism that is missing needs options"},
		{"mechanism of a role", `"mechanisms": ["reservation"]`, `"mechanisms": ["none"]`, `targets.roles.gangs.mechanisms: there is no mechanism "none"`},
		{"aspect", `"aspect": "messages", "quantity": "list changes"`, `"aspect": "state", "quantity": "list changes"`, `targets.roles.scheduler.rows: there is no row of the aspect "messages"`},
		{"row twice", `"key": "gang_cpu"`, `"key": "cpu"`, "targets.roles.gangs.rows.cpu: stands twice"},
		{"budget's unit", `"budget": "control_memory", "mechanism"`, `"budget": "control_cpu", "mechanism"`, `targets.roles.scheduler.rows.memory.budget: "control_cpu" is in cores, and what it bounds in bytes`},
		{"use", `"use": "point"`, `"use": "guess"`, `targets.roles.gangs.rows.gang_messages.total.figure.use: "guess" is not one of`},
		{"at", `"use": "line", "at": "gang"`, `"use": "line"`, "targets.roles.gangs.rows.gang_cpu.total.figure.at: missing"},
		{"kind", `"kind": "hollow"`, `"kind": "solid"`, `targets.roles.gangs.rows.gang_cpu.total.figure.kind: "solid" is not one of`},
		{"figure and none", `"not_measured": "there are none", "answers"`, `"answers"`, "targets.roles.gangs.rows.gang_state: either total, or count and each, or not_measured is needed"},
		{"constraint", `"events": "tasks_running"`, `"events": "tasks"`, `targets.constraints.0.events: there is no size "tasks" before it`},
		{"fleet", `"sizes": {"workers": 3000`, `"sizes": {"tasks_in_hand": 3000`, "targets.fleets.1.sizes.tasks_in_hand: follows from other sizes"},
		{"number without row", `"answers": ["gang"]`, `"answers": []`, ""}, // valid: the next row depends on it
		{"operator's number without row", `"key": "schedulers", "text": "schedulers", "unit": "number",`,
			`"key": "accelerators", "text": "accelerators", "unit": "number", "operator": true, "value": 1}, {"key": "schedulers", "text": "schedulers", "unit": "number",`,
			"targets.sizes.accelerators: no row rests on this number of the operators' list"},
		{"not JSON", `{
  "version"`, `{{`, "targets: invalid character"},
		{"more behind the end", `"tasks_running": 60000}}
  ]
}`, `"tasks_running": 60000}}
  ]
}}`, "targets: more follows behind the end"},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, string(good), c.old)
			_, err := parseTargets([]byte(strings.Replace(string(good), c.old, c.new, 1)))
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
			var atKey *Error
			require.ErrorAs(t, err, &atKey)
		})
	}
}

func TestInvalidResultsAreRejectedWithTheirKey(t *testing.T) {
	targets, _ := loadInputs(t)
	for _, c := range []struct {
		name   string
		change func(f *result.File)
		want   string
	}{
		{"case of a run", func(f *result.File) { f.Runs[2].Case = "" }, "results.0.runs.2.case: missing"},
		{"kind of a run", func(f *result.File) { f.Runs[2].Kind = "solid" }, `results.0.runs.2.kind: "solid" is not one of real, hollow`},
		{"program of a run", func(f *result.File) { f.Runs[2].Program = "" }, "results.0.runs.2.program: missing"},
		{"run without figures", func(f *result.File) { f.Runs[5].MissedReason = "" }, "results.0.runs.5.figures: there are none, and missed doesn't say why"},
		{"case of a slope", func(f *result.File) { f.Slopes[1].Case = "" }, "results.0.slopes.1.case: missing"},
		{"parameter of a slope", func(f *result.File) { f.Slopes[1].Parameter = "" }, "results.0.slopes.1.parameter: missing"},
		{"figure of a slope", func(f *result.File) { f.Slopes[1].Figure = "" }, "results.0.slopes.1.figure: missing"},
		{"program of a slope", func(f *result.File) { f.Slopes[1].Program = "" }, "results.0.slopes.1.program: missing"},
		{"kind of a slope", func(f *result.File) { f.Slopes[1].Kind = "" }, `results.0.slopes.1.kind: "" is not one of real, hollow`},
		{"range", func(f *result.File) { f.Slopes[1].From = 1e9 }, "results.0.slopes.1.from: 1e+09 is over to, 10000"},
		{"interval", func(f *result.File) { f.Slopes[1].Low = 1 }, "results.0.slopes.1.low: 1 is over high"},
		{"twice", func(f *result.File) { f.Slopes = append(f.Slopes, f.Slopes[0]) }, `results.0.slopes.4: rss_bytes of case "workers" along "workers", program "old", stands in results.0 already`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, results := loadInputs(t)
			c.change(results)
			var text strings.Builder
			err := Write(&text, targets, results)
			require.ErrorContains(t, err, c.want)
			assert.Empty(t, text.String())
		})
	}
	require.ErrorContains(t, Write(&strings.Builder{}, targets), "results: there are none")
}

func TestUnits(t *testing.T) {
	for _, c := range []struct {
		unit  Unit
		value float64
		want  string
	}{
		{Bytes, 0, "0 B"}, {Bytes, 999, "999 B"}, {Bytes, 1234, "1.23 KB"}, {Bytes, 256e6, "256 MB"}, {BytesPerS, 150_400, "150 KB/s"},
		{Bytes, 999_999, "1 MB"}, {Cores, 0.03246, "0.0325 core"}, {Seconds, 0.0131, "13.1 ms"}, {Seconds, 0.000_25, "250 us"},
		{Seconds, 188, "188 s"}, {Number, 33_000, "33,000"}, {Number, 1_234_567, "1,230,000"}, {Number, -1234, "-1,230"},
		{PerSecond, 103.125, "103/s"}, {PerDay, 16_000, "16,000 a day"}, {PerJob, 2.9, "2.9 a job"}, {Descriptors, 5_100, "5,100"},
	} {
		assert.Equal(t, c.want, c.unit.formatRounded(c.value))
	}
	assert.Equal(t, "12,345", Number.format(12_345)) // a size is not rounded
}

// Results that are encoded and decoded again give the same page.
func TestPageOfAReencodedResultsFile(t *testing.T) {
	targets, results := loadInputs(t)
	text, err := json.Marshal(results)
	require.NoError(t, err)
	var again result.File
	require.NoError(t, json.Unmarshal(text, &again))
	assert.Equal(t, renderPage(t, targets, results), renderPage(t, targets, &again))
}

func TestFigureFromALineThatDoesNotFitIsMarked(t *testing.T) {
	targets, results := loadInputs(t)
	results.Slopes[0].PoorFitReason = "it bends"
	text := renderPage(t, targets, results)
	assert.Contains(t, section(t, text, "### Scheduler"), "| workers known | before | 30,000 × 1 KB | 30 MB |  |  | E1, not a line |")
	assert.Contains(t, section(t, text, "## Evidence"), "not a line: it bends")
}

func TestRowOfSizesAloneHasOneLine(t *testing.T) {
	targets, results := loadInputs(t)
	row := &targets.Roles[1].Rows[3]
	row.NotMeasured, row.Total, row.Unit = "", &Term{Factors: []string{"tasks_in_hand"}}, Number
	assert.Equal(t, 1, strings.Count(renderPage(t, targets, results), "| memory | a gang |  |  | 20,000 |  |  | sizes alone |"))
}

func TestSlopeWhoseIntervalContainsZeroGivesAnUpperBound(t *testing.T) {
	targets, results := loadInputs(t)
	results.Slopes[0].Low = -500
	text := renderPage(t, targets, results)
	assert.Contains(t, section(t, text, "### Scheduler"), "| workers known | before | 30,000 × 1.01 KB | at most 30.3 MB |  |  | E1 |")
	assert.Contains(t, section(t, text, "## Evidence"), "no slope seen: the interval holds 0")

	// An upper bound over the budget does not prove that the figure exceeds it, so it is not ranked.
	targets.Roles[0].Rows[3].Total.Figure.Use = UseSlope
	results.Slopes[3].Low = -1
	text = renderPage(t, targets, results)
	assert.Contains(t, section(t, text, "### Scheduler"), "| with all tasks in hand | before |  | at most 420 MB | 200 MB | not told: at most ×2.1 |")
	assert.NotContains(t, section(t, text, "### before"), "with all tasks in hand")
}

func TestNearbyPointReplacesALineThatDoesNotFit(t *testing.T) {
	targets, results := loadInputs(t)
	*targets.Sizes[0].Value = 31_000
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Scheduler"), "| at rest | now |  | 0.03 core | 0.03 core | within, ×1 | E3, ×1.03 outside the range |")
	*targets.Sizes[0].Value = 40_000
	assert.Contains(t, section(t, renderPage(t, targets, results), "### Scheduler"), "E3, not a line, ×1.33 outside the range |")
}
