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

// File is the path of the project's configuration file, relative to the root of the repository.
const File = "deploy/cobaltflow.json"

// projectFile is the content of the project's file, with a section for each subsystem.
type projectFile struct {
	Log       log.Settings      `json:"log"`
	Scheduler *schedulerSection `json:"scheduler"`
	Faktory   *json.RawMessage  `json:"faktory"`
	HTTP2     *json.RawMessage  `json:"http2"`
	Sites     Sites             `json:"sites"`
	Ownership Ownership         `json:"ownership"`
}

// Sites is the configuration section of the failover of sites, which is off unless FailoverEnabled is set.
type Sites struct {
	FailoverEnabled  bool  `json:"plan"`
	MinSilentWorkers int   `json:"proof"`
	IdleProbeDelayMS int64 `json:"quiet_ms"`
	ProbeIntervalMS  int64 `json:"trial_ms"`
	ReturnWindowMS   int64 `json:"return_within_ms"`
}

// Settings returns the settings of package sites for the section and the rules' settings.
func (s Sites) Settings(set *rules.Settings) sites.Settings {
	return sites.Settings{SiteCount: set.Zones, OwnSite: set.Zone, MayProbe: set.MayProbe, MinSilentWorkers: s.MinSilentWorkers, MinReplyTimeout: set.ConnectTimeout / 2,
		MaxReplyTimeout: 4 * set.ConnectTimeout, IdleProbeDelay: s.IdleProbeDelayMS * 1000, ProbeInterval: s.ProbeIntervalMS * 1000, ReturnWindow: s.ReturnWindowMS * 1000}
}

// schedulerSection replaces the platform's file where there is none.
type schedulerSection struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin"`
	Seed      string          `json:"seed"`
	Limits    limitsSection   `json:"limits"`
	Zones     []string        `json:"zones"`
	Zone      string          `json:"zone"`
	Kinds     []string        `json:"kinds"`
	Classes   []classSection  `json:"classes"`
	Tenants   []tenantSection `json:"tenants"`
	ValueBy   string          `json:"worth_by"`
	Rules     rulesSection    `json:"rules"`

	OverQuotaValue float64       `json:"over_share_worth"`
	Workers        []KnownWorker `json:"workers"`
}

type limitsSection struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *int     `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

type classSection struct {
	Name            string  `json:"name"`
	Effect          string  `json:"effect"`
	DeadlineMS      int64   `json:"deadline_ms"`
	LatencyTargetMS int64   `json:"aim_ms"`
	TargetStretch   float64 `json:"aim_stretch"`
	Value           float64 `json:"worth"`
	LateValue       float64 `json:"late_worth"`
}

type tenantSection struct {
	Name      string  `json:"name"`
	QuotaPerS float64 `json:"quota_per_s"`
}

type rulesSection struct {
	MaxAttempts          int     `json:"max_attempts"`
	ConnectTimeoutMS     int64   `json:"connect_timeout_ms"`
	AnswerSlackMS        int64   `json:"answer_slack_ms"`
	DrainGraceMS         int64   `json:"drain_grace_ms"`
	SlowStartMinCapacity float64 `json:"cold_from"`
	SlowStartWindowMS    int64   `json:"warm_within_ms"`
	OverloadFactor       float64 `json:"overload_factor"`
	OverloadWindowMS     int64   `json:"tip_after_ms"`
	Cancel               bool    `json:"cancel"`
	Probes               bool    `json:"probes"`
	RetryAfter           bool    `json:"retry_after"`
	ReportsStart         bool    `json:"tells_start"`
}

// KnownWorker is a table worker of a fixed worker list. An empty Zone or Kind selects the first configured one.
type KnownWorker struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
}

// readProjectFile reads and validates the project's file. If the file is absent and not required, all sections have
// their defaults.
func readProjectFile(path string, isRequired bool) (*projectFile, error) {
	file := &projectFile{}
	if path == "" {
		return file, nil
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && !isRequired {
		return file, nil
	}
	if err != nil {
		return nil, newError("config", "%v", err)
	}
	return file, file.parse(text)
}

func (file *projectFile) parse(text []byte) error {
	if err := validate(text); err != nil {
		return err
	}
	if err := json.Unmarshal(text, file); err != nil {
		return newError("config", "%v", err)
	}
	return nil
}

// readSection decodes a section of the project's file into a value that holds the defaults. An absent section keeps them.
func readSection(key string, text *json.RawMessage, into any) error {
	if text == nil {
		return nil
	}
	if err := json.Unmarshal(*text, into); err != nil {
		return newError(key, "%v", err)
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler. Keys that are absent keep the defaults.
func (r *rulesSection) UnmarshalJSON(text []byte) error {
	type plain rulesSection
	p := plain(defaultRules())
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	*r = rulesSection(p)
	return nil
}

func defaultRules() rulesSection {
	return rulesSection{MaxAttempts: 3, ConnectTimeoutMS: 150, AnswerSlackMS: 10, DrainGraceMS: 1000, SlowStartMinCapacity: 1,
		OverloadFactor: 2, OverloadWindowMS: 1000, Cancel: true, RetryAfter: true, ReportsStart: true}
}

// readScheduler applies the scheduler section in place of the platform's file.
func (c *Config) readScheduler(s *schedulerSection) error {
	if len(s.Classes) == 0 {
		return newError("scheduler.classes", "missing or empty")
	}
	c.Names.Zones, c.Names.Kinds, c.Names.ConnIdleTimeout = s.Zones, s.Kinds, defaultConnIdleTimeout
	if len(c.Names.Zones) == 0 {
		c.Names.Zones = []string{"here"}
	}
	if len(c.Names.Kinds) == 0 {
		c.Names.Kinds = []string{"any"}
	}
	r := s.Rules
	if r == (rulesSection{}) {
		r = defaultRules()
	}
	set := rules.Settings{Zones: len(c.Names.Zones), Kinds: len(c.Names.Kinds), MayCancel: r.Cancel, MayProbe: r.Probes,
		LoadInProbes: r.Probes, RetryAfter: r.RetryAfter, ReportsStart: r.ReportsStart, MaxAttempts: r.MaxAttempts,
		ConnectTimeout: r.ConnectTimeoutMS * 1000, AnswerSlack: r.AnswerSlackMS * 1000, DrainGrace: r.DrainGraceMS * 1000,
		SlowStartMinCapacity: r.SlowStartMinCapacity, SlowStartWindow: r.SlowStartWindowMS * 1000, OverloadFactor: r.OverloadFactor, OverloadWindow: r.OverloadWindowMS * 1000}
	if set.SlowStartWindow == 0 {
		// Zero would select the default slow start of package rules, 30 s from a tenth of the capacity, and all jobs for a
		// first worker would wait without any message.
		set.SlowStartWindow, set.OverloadWindow, set.SlowStartMinCapacity = 1, 1, 1
		c.Warnings = append(c.Warnings, "scheduler.rules.warm_within_ms is absent: workers count as warm from their start")
	}
	if s.Zone != "" {
		if set.Zone = slices.Index(c.Names.Zones, s.Zone); set.Zone < 0 {
			return newError("scheduler.zone", "%q is not among zones", s.Zone)
		}
	}
	set.ValueByWork, set.OverQuotaValue = s.ValueBy == "work", s.OverQuotaValue
	var tenants []string
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
		set.Tenants = append(set.Tenants, rules.Tenant{QuotaPerS: t.QuotaPerS})
	}
	if err := c.Names.setTenants(tenants, "scheduler.tenants"); err != nil {
		return err
	}
	for i, k := range s.Classes {
		if c.Names.Class(k.Name) >= 0 {
			return newError(fmt.Sprintf("scheduler.classes.%d.name", i), "duplicate name %q", k.Name)
		}
		if k.LatencyTargetMS > k.DeadlineMS {
			return newError(fmt.Sprintf("scheduler.classes.%d.aim_ms", i), "%d is over deadline_ms, %d", k.LatencyTargetMS, k.DeadlineMS)
		}
		c.Names.Classes = append(c.Names.Classes, k.Name)
		class := rules.Class{LatencyTarget: k.LatencyTargetMS * 1000, Deadline: k.DeadlineMS * 1000, TargetStretch: k.TargetStretch, Value: k.Value,
			LateValue: k.LateValue, Kind: -1}
		if k.Effect == "repeatable" {
			class.Effect = rules.Repeatable
		}
		set.Classes = append(set.Classes, class)
	}
	c.Settings = set
	return c.SetKnownWorkers(s.Workers)
}

// SetKnownWorkers sets the initial worker list, in the format of discovery.
func (c *Config) SetKnownWorkers(workers []KnownWorker) error {
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
		key := fmt.Sprintf("scheduler.workers.%d.", i)
		if slices.ContainsFunc(list, func(e endpoint) bool { return e.Name == w.Name }) {
			return newError(key+"name", "duplicate name %q", w.Name)
		}
		if err := checkAddress(w.Address); err != nil {
			return newError(key+"address", "%v", err)
		}
		if w.Zone != "" && !slices.Contains(c.Names.Zones, w.Zone) {
			return newError(key+"zone", "%q is not among zones", w.Zone)
		}
		if w.Kind != "" && !slices.Contains(c.Names.Kinds, w.Kind) {
			return newError(key+"kind", "%q is not among kinds", w.Kind)
		}
		list = append(list, endpoint{Name: w.Name, Address: w.Address, Zone: firstNonEmpty(w.Zone, c.Names.Zones[0]),
			Type: firstNonEmpty(w.Kind, c.Names.Kinds[0]), Status: "up", Weight: 1})
	}
	var err error
	c.KnownWorkers, err = json.Marshal(map[string]any{"index": 0, "snapshot": true, "endpoints": list})
	return err
}
