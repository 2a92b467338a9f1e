package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	"cobaltflow/internal/log"
	"cobaltflow/internal/sites"
	"cobaltflow/rules"
)

// File is where the project's own configuration lies, from the repository's root.
const File = "deploy/cobaltflow.json"

// ownFile is the project's own file: a section for each subsystem.
type ownFile struct {
	Log       log.Settings     `json:"log"`
	Scheduler *schedulerFile   `json:"scheduler"`
	Faktory   *json.RawMessage `json:"faktory"`
	HTTP2     *json.RawMessage `json:"http2"`
	Sites     Sites            `json:"sites"`
	Ownership Ownership        `json:"ownership"`
}

// Sites is what is done about the loss of a site; off without Plan.
type Sites struct {
	Plan           bool  `json:"plan"`
	Proof          int   `json:"proof"`
	QuietMS        int64 `json:"quiet_ms"`
	TrialMS        int64 `json:"trial_ms"`
	ReturnWithinMS int64 `json:"return_within_ms"`
}

// Settings are those of the module.
func (s Sites) Settings(set *rules.Settings) sites.Settings {
	return sites.Settings{Sites: set.Zones, Own: set.Zone, MayAsk: set.MayProbe, Proof: s.Proof, LeastWait: set.ConnectTimeout / 2,
		MostWait: 4 * set.ConnectTimeout, QuietFor: s.QuietMS * 1000, TrialEvery: s.TrialMS * 1000, ReturnWithin: s.ReturnWithinMS * 1000}
}

// schedulerFile holds what the platform's file would tell.
type schedulerFile struct {
	Name      string       `json:"name"`
	Listen    string       `json:"listen"`
	Discovery string       `json:"discovery"`
	Admin     string       `json:"admin"`
	Seed      string       `json:"seed"`
	Limits    limitsFile   `json:"limits"`
	Zones     []string     `json:"zones"`
	Zone      string       `json:"zone"`
	Kinds     []string     `json:"kinds"`
	Classes   []classFile  `json:"classes"`
	Tenants   []tenantFile `json:"tenants"`
	WorthBy   string       `json:"worth_by"`
	Rules     rulesFile    `json:"rules"`

	OverShareWorth float64       `json:"over_share_worth"`
	Workers        []KnownWorker `json:"workers"`
}

type limitsFile struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

type classFile struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	DeadlineMS int64   `json:"deadline_ms"`
	AimMS      int64   `json:"aim_ms"`
	Stretch    float64 `json:"aim_stretch"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late_worth"`
}

type tenantFile struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quota_per_s"`
}

type rulesFile struct {
	MaxAttempts      int     `json:"max_attempts"`
	ConnectTimeoutMS int64   `json:"connect_timeout_ms"`
	AnswerSlackMS    int64   `json:"answer_slack_ms"`
	DrainGraceMS     int64   `json:"drain_grace_ms"`
	ColdFrom         float64 `json:"cold_from"`
	WarmWithinMS     int64   `json:"warm_within_ms"`
	OverloadFactor   float64 `json:"overload_factor"`
	TipAfterMS       int64   `json:"tip_after_ms"`
	Cancel           bool    `json:"cancel"`
	Probes           bool    `json:"probes"`
	RetryAfter       bool    `json:"retry_after"`
	TellsStart       bool    `json:"tells_start"`
}

// KnownWorker is a table worker that is known from the start. Zone and Kind may be empty: the first of their kind.
type KnownWorker struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
}

// readOwn reads and checks the project's own file. Where it need not be there and is not, all of it is at
// its defaults.
func readOwn(path string, needed bool) (*ownFile, error) {
	own := &ownFile{}
	if path == "" {
		return own, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !needed {
		return own, nil
	}
	if err != nil {
		return nil, fault("config", "%v", err)
	}
	return own, own.parse(text)
}

func (own *ownFile) parse(text []byte) error {
	if err := validate(text); err != nil {
		return err
	}
	if err := json.Unmarshal(text, own); err != nil {
		return fault("config", "%v", err)
	}
	return nil
}

// readSection reads a section of the project's own file over its defaults; an absent one leaves them.
func readSection(key string, text *json.RawMessage, into any) error {
	if text == nil {
		return nil
	}
	if err := json.Unmarshal(*text, into); err != nil {
		return fault(key, "%v", err)
	}
	return nil
}

// UnmarshalJSON puts the defaults of the rules below what the file says.
func (r *rulesFile) UnmarshalJSON(text []byte) error {
	type plain rulesFile
	p := plain(defaultRules())
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	*r = rulesFile(p)
	return nil
}

func defaultRules() rulesFile {
	return rulesFile{MaxAttempts: 3, ConnectTimeoutMS: 150, AnswerSlackMS: 10, DrainGraceMS: 1000, ColdFrom: 1,
		OverloadFactor: 2, TipAfterMS: 1000, Cancel: true, RetryAfter: true, TellsStart: true}
}

// scheduler takes the section over as if the platform had told it.
func (c *Config) scheduler(s *schedulerFile) error {
	if len(s.Classes) == 0 {
		return fault("scheduler.classes", "none are given")
	}
	c.Names.Zones, c.Names.Kinds, c.Names.ConnIdle = s.Zones, s.Kinds, 60_000_000
	if len(c.Names.Zones) == 0 {
		c.Names.Zones = []string{"here"}
	}
	if len(c.Names.Kinds) == 0 {
		c.Names.Kinds = []string{"any"}
	}
	r := s.Rules
	if r == (rulesFile{}) {
		r = defaultRules()
	}
	set := rules.Settings{Zones: len(c.Names.Zones), Kinds: len(c.Names.Kinds), MayCancel: r.Cancel, MayProbe: r.Probes,
		LoadInProbes: r.Probes, RetryAfter: r.RetryAfter, ReportsStart: r.TellsStart, MaxAttempts: r.MaxAttempts,
		ConnectTimeout: r.ConnectTimeoutMS * 1000, AnswerSlack: r.AnswerSlackMS * 1000, DrainGrace: r.DrainGraceMS * 1000,
		SlowStartMinCapacity: r.ColdFrom, SlowStartWindow: r.WarmWithinMS * 1000, OverloadFactor: r.OverloadFactor, OverloadWindow: r.TipAfterMS * 1000}
	if set.SlowStartWindow == 0 {
		// Left at zero the decisions would take their own cautious reading, 30 s from a tenth, and all jobs
		// for a first worker would wait in silence.
		set.SlowStartWindow, set.OverloadWindow, set.SlowStartMinCapacity = 1, 1, 1
		c.Notes = append(c.Notes, "scheduler.rules.warm_within_ms is absent: workers are taken for warm from their start")
	}
	if s.Zone != "" {
		if set.Zone = slices.Index(c.Names.Zones, s.Zone); set.Zone < 0 {
			return fault("scheduler.zone", "%q is not among zones", s.Zone)
		}
	}
	set.ValueByWork, set.OverQuotaValue = s.WorthBy == "work", s.OverShareWorth
	var tenants []string
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
		set.Tenants = append(set.Tenants, rules.Tenant{QuotaPerS: t.QuotaPerS})
	}
	if err := c.Names.nameTenants(tenants, "scheduler.tenants"); err != nil {
		return err
	}
	for i, k := range s.Classes {
		if c.Names.Class(k.Name) >= 0 {
			return fault(fmt.Sprintf("scheduler.classes.%d.name", i), "%q stands twice", k.Name)
		}
		if k.AimMS > k.DeadlineMS {
			return fault(fmt.Sprintf("scheduler.classes.%d.aim_ms", i), "%d is over deadline_ms, %d", k.AimMS, k.DeadlineMS)
		}
		c.Names.Classes = append(c.Names.Classes, k.Name)
		class := rules.Class{LatencyTarget: k.AimMS * 1000, Deadline: k.DeadlineMS * 1000, TargetStretch: k.Stretch, Value: k.Worth,
			LateValue: k.LateWorth, Kind: -1}
		if k.Effect == "repeatable" {
			class.Effect = rules.Repeatable
		}
		set.Classes = append(set.Classes, class)
	}
	c.Settings = set
	return c.Know(s.Workers)
}

// Know has the configuration name workers, as discovery would.
func (c *Config) Know(workers []KnownWorker) error {
	type endpoint struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
	}
	list := []endpoint{}
	for i, w := range workers {
		at := fmt.Sprintf("scheduler.workers.%d.", i)
		if slices.ContainsFunc(list, func(e endpoint) bool { return e.Name == w.Name }) {
			return fault(at+"name", "%q stands twice", w.Name)
		}
		if err := checkAddress(w.Address); err != nil {
			return fault(at+"address", "%v", err)
		}
		if w.Zone != "" && !slices.Contains(c.Names.Zones, w.Zone) {
			return fault(at+"zone", "%q is not among zones", w.Zone)
		}
		if w.Kind != "" && !slices.Contains(c.Names.Kinds, w.Kind) {
			return fault(at+"kind", "%q is not among kinds", w.Kind)
		}
		list = append(list, endpoint{Name: w.Name, Address: w.Address, Zone: first(w.Zone, c.Names.Zones[0]),
			Type: first(w.Kind, c.Names.Kinds[0]), Status: "up", Weight: 1})
	}
	var err error
	c.Known, err = json.Marshal(map[string]any{"index": 0, "snapshot": true, "endpoints": list})
	return err
}
