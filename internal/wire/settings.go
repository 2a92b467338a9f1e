package wire

import (
	"fmt"
	"strconv"
	"strings"

	"cobaltflow/rules"
)

// maxListLength is the largest length of a list whose items are numbered and whose length is given by a .count setting.
const maxListLength = 4096

// params reads the path=value settings of an ATTACH and keeps the first error. Unknown paths are skipped; a value that is
// missing, empty or "-" is absent.
type params struct {
	values map[string]string
	err    error
}

func (p *params) fail(path, value, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %q is not %s", path, value, want)
	}
}

func (p *params) number(path string) float64 {
	v, ok := p.values[path]
	if !ok || v == "-" || v == "" {
		return 0
	}
	f, err := parseNumber(v)
	if err != nil {
		p.fail(path, v, "a number")
	}
	return f
}

func (p *params) time(path string) rules.Time { return rules.Time(p.number(path)) }

func (p *params) integer(path string, absent int) int {
	v, ok := p.values[path]
	if !ok || v == "-" || v == "" {
		return absent
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		p.fail(path, v, "a whole number")
	}
	return n
}

func (p *params) flag(path string) bool {
	switch v := p.values[path]; v {
	case "true", "1":
		return true
	case "", "-", "false", "0":
		return false
	default:
		p.fail(path, v, "true or false")
		return false
	}
}

func (p *params) list(path string) []string {
	v := p.values[path]
	if v == "" || v == "-" {
		return nil
	}
	return strings.Split(v, ",")
}

// itemOrLast returns the i-th item of a list of plain values, or the last one if the list is shorter.
func itemOrLast(list []string, i int) string {
	if len(list) == 0 {
		return ""
	}
	return list[min(i, len(list)-1)]
}

func (p *params) itemNumber(path string, i int, absent float64) float64 {
	s := itemOrLast(p.list(path), i)
	if s == "" {
		return absent
	}
	f, err := parseNumber(s)
	if err != nil {
		p.fail(path, s, "a number")
	}
	return f
}

func (p *params) count(path string) int {
	n := p.integer(path+".count", 0)
	if n < 0 || n > maxListLength {
		p.fail(path+".count", strconv.Itoa(n), "a length")
		return 0
	}
	return n
}

// ParseSettings parses settings given as path=value. The error names the path of the first invalid one.
func ParseSettings(fields []string) (rules.Settings, error) {
	p := &params{values: make(map[string]string, len(fields))}
	for _, f := range fields {
		if f == "" {
			continue
		}
		path, value, ok := strings.Cut(f, "=")
		if !ok || path == "" {
			return rules.Settings{}, fmt.Errorf("setting %q is not path=value", f)
		}
		p.values[path] = value
	}
	s := rules.Settings{
		Zones:                len(p.list("dcs")),
		Kinds:                len(p.list("kinds")),
		Zone:                 p.integer("locality", 0),
		Rank:                 p.integer("rank", 0),
		GroupSize:            p.integer("groupSize", 1),
		PullsList:            p.values["discovery"] == "ask",
		PollWithin:           p.time("rules.askWithinUs"),
		MayProbe:             p.flag("caps.probes"),
		MayCancel:            p.flag("caps.cancel"),
		MayBroadcast:         p.flag("caps.peers"),
		MayHedge:             p.flag("caps.secondCopies"),
		MaxAttempts:          p.integer("caps.mostTries", 0),
		RetryAfter:           p.flag("caps.retryAfter"),
		MaxRetryAfter:        p.time("caps.maxRetryAfterUs"),
		ConnectTimeout:       p.time("caps.connectTimeoutUs"),
		ReportsStart:         p.flag("specifics.tellsStart"),
		ProgressInterval:     p.time("specifics.progressUs"),
		LoadInAnswers:        p.values["report.how"] == "answers",
		LoadInProbes:         p.values["report.how"] == "answers" || p.values["report.how"] == "probe",
		WeightsAreSize:       p.values["weights"] == "rough" || p.values["weights"] == "nominal",
		AnswerSlack:          p.time("rules.answerSlackUs"),
		DrainGrace:           p.time("rules.drainGraceUs"),
		SlowStartMinCapacity: p.number("rules.coldFrom"),
		SlowStartWindow:      p.time("rules.warmWithinUs"),
		OverloadFactor:       p.number("rules.overloadFactor"),
		OverloadWindow:       p.time("rules.tipAfterUs"),
		ProbeCost:            p.number("charges.probe"),
		PeerMessageCost:      p.number("charges.peer"),
		CrossZoneCost:        p.number("charges.crossZone"),
		OriginFetchCost:      p.number("charges.origin"),
		OverQuotaValue:       p.number("overShareWorth"),
		ValueByWork:          p.values["worthBy"] == "work",
	}
	for i := range p.count("classes") {
		at := "classes." + strconv.Itoa(i) + "."
		c := rules.Class{
			LatencyTarget: p.time(at + "aimUs"),
			TargetStretch: p.number(at + "aimStretch"),
			Deadline:      p.time(at + "deadlineUs"),
			Value:         p.number(at + "worth"),
			LateValue:     p.number(at + "lateWorth"),
			Window:        p.time(at + "windowUs"),
			Kind:          int(p.itemNumber("specifics.classKind", i, -1)),
			Priority:      int(p.itemNumber("specifics.classPriority", i, 0)),
		}
		if c.TargetStretch == 0 {
			c.TargetStretch = p.itemNumber("specifics.classStretch", i, 0)
		}
		switch p.values[at+"effect"] {
		case "repeatable":
			c.Effect = rules.Repeatable
		case "by_key":
			c.Effect = rules.Keyed
		}
		switch p.values[at+"group"] {
		case "zone":
			c.Group = rules.GroupZone
		case "cell":
			c.Group = rules.GroupCell
		case "all":
			c.Group = rules.GroupAll
		default: // unknown group: the smallest one is the safest interpretation
			c.Group = rules.GroupCell
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("tenants") {
		at := "tenants." + strconv.Itoa(i) + "."
		s.Tenants = append(s.Tenants, rules.Tenant{QuotaPerS: p.number(at + "quotaRps")})
	}
	return s, p.err
}
