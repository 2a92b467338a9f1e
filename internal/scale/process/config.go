package process

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"cobaltflow/internal/scale/worker"
)

// Mode selects how a scheduler learns the worker list.
type Mode string

// Modes of discovery.
const (
	Pull Mode = "ask"  // it watches from the version that it knows
	Push Mode = "push" // it requests the whole list first, as from a discovery server on its own machine
)

// Names of the job classes.
const (
	ShortClass = "short" // jobs of well under a second
	LongClass  = "long"  // tasks that run until they are cancelled
)

// Config is the configuration of one scheduler.
type Config struct {
	Name       string
	Listen     netip.AddrPort // for clients and callbacks
	Admin      netip.AddrPort
	HTTP2      netip.AddrPort // not valid: the HTTP/2 front is off
	Discovery  netip.AddrPort
	Mode       Mode
	KnownList  json.RawMessage // worker list known at the start; nil: none
	MemoryMB   int
	Sockets    int
	Seed       uint64
	Rank       int
	GroupSize  int // schedulers that send to the same workers, running or not
	Zone       int
	Zones      int
	Tenants    int
	QuotaPerS  float64         // of each tenant
	Peers      *Peers          // nil: no messages to other schedulers
	Subsystems json.RawMessage // sections merged into the program's own configuration file; nil: none
}

// Peers holds the addresses for messages between schedulers.
type Peers struct {
	Listen netip.AddrPort
	Each   []string
	All    string
}

// Types of the platform's configuration file.
type (
	platformFile struct {
		Name       string          `json:"name"`
		Listen     netip.AddrPort  `json:"listen"`
		Discovery  netip.AddrPort  `json:"discovery"`
		Admin      netip.AddrPort  `json:"admin"`
		Seed       string          `json:"seed"`
		Limits     limits          `json:"limits"`
		Known      json.RawMessage `json:"known,omitempty"`
		PeerListen string          `json:"peer_listen,omitempty"`
		Peers      []string        `json:"peers,omitempty"`
		PeersAll   string          `json:"peers_all,omitempty"`
		Settings   settings        `json:"settings"`
	}
	limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	settings struct {
		Caps       caps         `json:"caps"`
		Classes    []class      `json:"classes"`
		Tenants    []tenant     `json:"tenants,omitempty"`
		Zones      []string     `json:"dcs"`
		Kinds      []string     `json:"kinds"`
		Locality   int          `json:"locality"`
		Discovery  Mode         `json:"discovery"`
		GroupSize  int          `json:"groupSize"`
		Rank       int          `json:"rank"`
		Report     report       `json:"report"`
		Rules      ruleSettings `json:"rules"`
		Specifics  specifics    `json:"specifics"`
		Weights    string       `json:"weights"`
		ValueBy    string       `json:"worthBy"`
		DomainType string       `json:"domainType"`
	}
	caps struct {
		Cancel           bool  `json:"cancel"`
		Peers            bool  `json:"peers"`
		Probes           bool  `json:"probes"`
		RetryAfter       bool  `json:"retryAfter"`
		MaxRetryAfterUS  int64 `json:"maxRetryAfterUs"`
		MaxAttempts      int   `json:"mostTries"`
		ConnectTimeoutUS int64 `json:"connectTimeoutUs"`
		ConnIdleUS       int64 `json:"connIdleUs"`
	}
	class struct {
		Name            string  `json:"name"`
		Effect          string  `json:"effect"`
		LatencyTargetUS int64   `json:"aimUs"`
		DeadlineUS      int64   `json:"deadlineUs"`
		Value           float64 `json:"worth"`
		LateValue       float64 `json:"lateWorth"`
		Group           string  `json:"group"`
		WindowUS        int64   `json:"windowUs"`
	}
	tenant struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaRps"`
	}
	report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	}
	ruleSettings struct {
		AnswerSlackUS        int64   `json:"answerSlackUs"`
		PollWithinUS         int64   `json:"askWithinUs"`
		SlowStartMinCapacity float64 `json:"coldFrom"`
		DrainGraceUS         int64   `json:"drainGraceUs"`
		OverloadFactor       float64 `json:"overloadFactor"`
		OverloadWindowUS     int64   `json:"tipAfterUs"`
		SlowStartWindowUS    int64   `json:"warmWithinUs"`
	}
	specifics struct {
		QueueOrder   string `json:"queueOrder"`
		ReportX0     string `json:"reportX0"`
		ReportsStart bool   `json:"tellsStart"`
	}
)

// Latency targets and deadlines of the two classes.
const (
	shortLatencyTarget = 500 * time.Millisecond
	shortDeadline      = 5 * time.Second
	longLatencyTarget  = 10 * time.Minute
	longDeadline       = 20 * time.Minute
)

// coreLimit is the number of cores in a scheduler's configuration.
const coreLimit = 1

func (c *Config) newPlatformFile() platformFile {
	f := platformFile{Name: c.Name, Listen: c.Listen, Discovery: c.Discovery, Admin: c.Admin, Seed: fmt.Sprintf("%016x", c.Seed),
		Limits: limits{Cores: coreLimit, MemoryMB: c.MemoryMB, Sockets: c.Sockets}, Known: c.KnownList, Settings: c.newSettings()}
	if p := c.Peers; p != nil {
		f.PeerListen, f.Peers, f.PeersAll = p.Listen.String(), p.Each, p.All
	}
	return f
}

func (c *Config) newSettings() settings {
	s := settings{
		Caps: caps{Cancel: true, Peers: c.Peers != nil, Probes: true, RetryAfter: true, MaxRetryAfterUS: microseconds(2 * time.Second),
			MaxAttempts: 4, ConnectTimeoutUS: microseconds(150 * time.Millisecond), ConnIdleUS: microseconds(time.Minute)},
		Classes: []class{
			{Name: ShortClass, Effect: "repeatable", LatencyTargetUS: microseconds(shortLatencyTarget), DeadlineUS: microseconds(shortDeadline), Value: 3,
				LateValue: 0.25, Group: "all", WindowUS: microseconds(5 * time.Second)},
			{Name: LongClass, Effect: "once", LatencyTargetUS: microseconds(longLatencyTarget), DeadlineUS: microseconds(longDeadline), Value: 3,
				LateValue: 0.25, Group: "all", WindowUS: microseconds(5 * time.Second)}},
		Kinds: []string{worker.Kind}, Locality: c.Zone, Discovery: c.Mode, GroupSize: c.GroupSize, Rank: c.Rank,
		Report: report{How: "probe", Fields: []string{"waiting", "avg_ms", "active", "x0"}},
		Rules: ruleSettings{AnswerSlackUS: microseconds(16 * time.Millisecond), PollWithinUS: microseconds(10 * time.Second), SlowStartMinCapacity: 0.2,
			DrainGraceUS: microseconds(time.Second), OverloadFactor: 2, OverloadWindowUS: microseconds(time.Second),
			SlowStartWindowUS: microseconds(10 * time.Second)},
		Specifics: specifics{QueueOrder: "fifo", ReportX0: "free_slots", ReportsStart: true},
		Weights:   "nominal", ValueBy: "request", DomainType: "jobs",
	}
	for zone := range c.Zones {
		s.Zones = append(s.Zones, worker.ZoneName(zone))
	}
	for number := range c.Tenants {
		s.Tenants = append(s.Tenants, tenant{Name: TenantName(number), QuotaPerS: c.QuotaPerS})
	}
	return s
}

// TenantName returns a tenant's name, from its number.
func TenantName(number int) string { return fmt.Sprintf("team-%03d", number) }

func microseconds(d time.Duration) int64 { return d.Microseconds() }

// Limits of the HTTP/2 front: enough for all tasks that one scheduler has to hold.
const (
	HTTP2Connections = 128
	HTTP2Streams     = 250 // concurrent streams of a connection
)

type programFile struct {
	Log   programLog   `json:"log"`
	HTTP2 programHTTP2 `json:"http2"`
}

type programLog struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

type programHTTP2 struct {
	Listen         string `json:"listen"`
	MaxConnections int    `json:"max_connections,omitempty"`
	MaxStreams     int    `json:"max_streams,omitempty"`
}

// marshalProgramFile returns the program's own configuration file, merged with the sections of Subsystems. A section of
// Subsystems replaces one of the same name.
func (c *Config) marshalProgramFile() ([]byte, error) {
	f := programFile{Log: programLog{Format: "text", Level: "info"}}
	if c.HTTP2.IsValid() {
		f.HTTP2 = programHTTP2{Listen: c.HTTP2.String(), MaxConnections: HTTP2Connections, MaxStreams: HTTP2Streams}
	}
	text, err := json.Marshal(f)
	if err != nil || len(c.Subsystems) == 0 {
		return text, err
	}
	sections := map[string]json.RawMessage{}
	for _, part := range [][]byte{text, c.Subsystems} {
		if err := json.Unmarshal(part, &sections); err != nil {
			return nil, fmt.Errorf("sections of the program's configuration file: %w", err)
		}
	}
	return json.Marshal(sections)
}
