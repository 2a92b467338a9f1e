// Package config reads the configuration from the environment, the platform's JSON file and the project's own file under
// deploy/, validates it and applies defaults. The gateway and the command call it; each validation error names the key
// that caused it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"cobaltflow/deploy"
	"cobaltflow/internal/log"
	"cobaltflow/internal/ownership"
	"cobaltflow/rules"
)

// Environment variables.
const (
	EnvName      = "RELAY_NAME"
	EnvListen    = "RELAY_LISTEN"
	EnvDiscovery = "RELAY_DISCOVERY"
	EnvConfig    = "RELAY_CONFIG"
	EnvAdmin     = "RELAY_ADMIN"
)

// Config is the whole configuration of a scheduler.
type Config struct {
	Name             string
	Listen           string // address of the clients' HTTP/1.1 front
	Discovery        string // address of the discovery server; empty: the worker list is fixed
	DiscoveryIsLocal bool   // the discovery server runs on this machine, so that calls to it are cheap
	Admin            string // address of the operators' front; empty: off
	Seed             uint64 // of random decisions
	Limits           Limits
	KnownWorkers     json.RawMessage // initial worker list, as JSON in the format of discovery
	Peers            Peers
	Settings         rules.Settings
	Names            Names
	Faktory          Faktory
	HTTP2            HTTP2
	Sites            Sites
	Ownership        *ownership.Settings // nil: the fleet is not divided among schedulers
	Log              log.Settings
	Warnings         []string // settings whose effect may be unexpected; for the log

	// StateDir is the directory of the files that this scheduler's processes share; empty: the system's directory for
	// temporary files ($TMPDIR).
	StateDir string

	projectPath string // of the project's file, for Reload
}

// Peers holds the addresses for messages between schedulers. Listen is empty if these messages are off.
type Peers struct {
	Listen string
	Group  netip.AddrPort   // reaches all schedulers
	ByRank []netip.AddrPort // including this scheduler's own address
}

// Limits are the resource limits of the process.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

const defaultConnIdleTimeout rules.Time = 60_000_000 // 60 s

// Error is a validation error at a configuration key.
type Error struct{ Key, Text string }

func (e *Error) Error() string { return e.Key + ": " + e.Text }

func newError(key, format string, args ...any) error {
	return &Error{key, fmt.Sprintf(format, args...)}
}

// platformFile is the content of the platform's JSON file.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin"`
	Seed      string          `json:"seed"`
	Limits    limitsSection   `json:"limits"`
	Known     json.RawMessage `json:"known"`

	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Settings   json.RawMessage `json:"settings"`
}

// Load reads the configuration from the environment, the platform's file and the project's file. The environment takes
// precedence over the platform's file, which takes precedence over the section scheduler of the project's file.
// projectPath is the path of the project's file. The file may be absent unless isRequired is set.
func Load(getenv func(string) string, projectPath string, isRequired bool) (*Config, error) {
	file, err := readProjectFile(projectPath, isRequired)
	if err != nil {
		return nil, err
	}
	return load(getenv, file, projectPath, false)
}

// LoadExample returns the configuration of the embedded example file.
func LoadExample() (*Config, error) {
	file := &projectFile{}
	if err := file.parse(deploy.Example); err != nil {
		return nil, err
	}
	return load(func(string) string { return "" }, file, "", false)
}

func load(getenv func(string) string, file *projectFile, projectPath string, isReload bool) (*Config, error) {
	c, err := read(getenv, file.Scheduler, isReload)
	if err != nil {
		return nil, err
	}
	c.Log, c.Sites, c.projectPath = file.Log, file.Sites, projectPath
	if err := c.readOwnership(file.Ownership); err != nil {
		return nil, err
	}
	if err := c.readHTTP2(file.HTTP2); err != nil {
		return nil, err
	}
	return c, c.readFaktory(file.Faktory)
}

// Reload reads the files again for a running process. The discovery address in the platform's file takes precedence over
// the environment, which dates from the start of the process. The sections faktory and http2 are kept unchanged.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	file, err := readProjectFile(c.projectPath, false)
	if err != nil {
		return nil, err
	}
	next, err := load(getenv, file, c.projectPath, true)
	if err != nil {
		return nil, err
	}
	next.Faktory, next.HTTP2 = c.Faktory, c.HTTP2
	if err := errors.Join(next.checkFaktory(), next.checkHTTP2()); err != nil { // against the new limits
		return nil, err
	}
	return next, nil
}

// RestartRequired returns the keys in which next differs from c but whose values a running process keeps.
func (c *Config) RestartRequired(next *Config) (keys []string) {
	for _, k := range []struct {
		key     string
		differs bool
	}{
		{"name", c.Name != next.Name},
		{"listen", c.Listen != next.Listen},
		{"admin", c.Admin != next.Admin},
		{"settings", !reflect.DeepEqual(c.Settings, next.Settings) || !reflect.DeepEqual(c.Names, next.Names)},
	} {
		if k.differs {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// read reads the platform's file or, without one, the scheduler section of the project's file.
func read(getenv func(string) string, section *schedulerSection, isReload bool) (*Config, error) {
	var doc platformFile
	prefix := ""
	if getenv(EnvConfig) != "" {
		section = nil
	}
	if section != nil {
		prefix = "scheduler."
		doc = platformFile{Name: section.Name, Listen: section.Listen, Discovery: section.Discovery, Admin: section.Admin, Seed: section.Seed,
			Limits: section.Limits}
	}
	if path := getenv(EnvConfig); path != "" {
		if err := readPlatformFile(path, &doc); err != nil {
			return nil, err
		}
	}
	c := &Config{
		Name:         firstNonEmpty(getenv(EnvName), doc.Name),
		Listen:       firstNonEmpty(getenv(EnvListen), doc.Listen),
		Discovery:    firstNonEmpty(getenv(EnvDiscovery), doc.Discovery),
		Admin:        firstNonEmpty(getenv(EnvAdmin), doc.Admin),
		Limits:       Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		KnownWorkers: doc.Known,
	}
	if isReload {
		c.Discovery = firstNonEmpty(doc.Discovery, c.Discovery)
	}
	if c.Name == "" {
		return nil, newError(prefix+"name", "missing (or %s); without a platform file the section \"scheduler\" of the --config file must set it", EnvName)
	}
	if err := c.checkAddresses(prefix, section == nil); err != nil {
		return nil, err
	}
	if doc.Seed != "" {
		n, err := strconv.ParseUint(doc.Seed, 16, 64)
		if err != nil {
			return nil, newError(prefix+"seed", "%q is not up to 16 hexadecimal digits", doc.Seed)
		}
		c.Seed = n
	}
	if err := c.readLimits(prefix, &doc); err != nil {
		return nil, err
	}
	if section != nil {
		return c, c.readScheduler(section)
	}
	if err := c.readSettings(doc.Settings); err != nil {
		return nil, err
	}
	if err := c.readPeers(&doc); err != nil {
		return nil, err
	}
	if c.Settings.SlowStartWindow == 0 {
		c.Warnings = append(c.Warnings, "settings.rules.warmWithinUs is absent: new workers are cold for 30 s, and their first jobs wait")
	}
	return c, nil
}

// readPlatformFile reads the platform's file.
func readPlatformFile(path string, doc *platformFile) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return newError(EnvConfig, "%v", err)
	}
	if err := json.Unmarshal(text, doc); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return newError(typeErr.Field, "unexpected %s", typeErr.Value)
		}
		return newError(EnvConfig, "%v", err)
	}
	return nil
}

// checkAddresses validates the addresses. prefix is prepended to the keys in its errors. usesDiscovery reports whether
// the discovery address is required.
func (c *Config) checkAddresses(prefix string, usesDiscovery bool) error {
	for _, a := range []struct{ key, env, value string }{
		{"listen", EnvListen, c.Listen}, {"discovery", EnvDiscovery, c.Discovery},
	} {
		if a.value == "" && a.key == "discovery" && !usesDiscovery {
			continue // the section lists all workers
		}
		if a.value == "" {
			return newError(prefix+a.key, "missing (or %s)", a.env)
		}
		if err := checkAddress(a.value); err != nil {
			return newError(prefix+a.key, "%v", err)
		}
	}
	if c.Admin != "" {
		if err := checkAddress(c.Admin); err != nil {
			return newError(prefix+"admin", "%v", err)
		}
		if c.Admin == c.Listen {
			return newError(prefix+"admin", "%s is also the clients' address; the operators' address must differ", c.Admin)
		}
	}
	return nil
}

// readLimits applies the limits of the file.
func (c *Config) readLimits(prefix string, doc *platformFile) error {
	if v := doc.Limits.Cores; v != nil {
		if c.Limits.Cores = *v; *v <= 0 {
			return newError(prefix+"limits.cores", "%v is not above 0", *v)
		}
	}
	if v := doc.Limits.MemoryMB; v != nil {
		if c.Limits.MemoryMB = *v; *v < 32 {
			return newError(prefix+"limits.memory_mb", "%d is under 32", *v)
		}
	}
	if v := doc.Limits.Sockets; v != nil {
		if c.Limits.Sockets = *v; *v < 64 {
			return newError(prefix+"limits.sockets", "%d is under 64", *v)
		}
	}
	return nil
}

// readPeers reads the addresses of the other schedulers. If they are absent it turns messages between schedulers off and
// adds a warning.
func (c *Config) readPeers(doc *platformFile) error {
	s := &c.Settings
	if !s.MayBroadcast || s.GroupSize < 2 {
		s.MayBroadcast = false
		return nil
	}
	if doc.PeerListen == "" || doc.PeersAll == "" || len(doc.Peers) == 0 {
		s.MayBroadcast = false
		c.Warnings = append(c.Warnings, "peer_listen, peers or peers_all is absent: no messages are exchanged with the other schedulers")
		return nil
	}
	if len(doc.Peers) != s.GroupSize {
		return newError("peers", "%d addresses, but settings.groupSize is %d", len(doc.Peers), s.GroupSize)
	}
	if s.Rank < 0 || s.Rank >= s.GroupSize {
		return newError("settings.rank", "%d is not from 0 to %d, one under settings.groupSize", s.Rank, s.GroupSize-1)
	}
	var err error
	for i, text := range doc.Peers {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return newError(fmt.Sprintf("peers.%d", i), "%q is not address:port", text)
		}
		if slices.Contains(c.Peers.ByRank, a) {
			return newError(fmt.Sprintf("peers.%d", i), "duplicate address %s", text)
		}
		c.Peers.ByRank = append(c.Peers.ByRank, a)
	}
	if c.Peers.Group, err = netip.ParseAddrPort(doc.PeersAll); err != nil {
		return newError("peers_all", "%q is not address:port", doc.PeersAll)
	}
	if err := checkAddress(doc.PeerListen); err != nil {
		return newError("peer_listen", "%v", err)
	}
	c.Peers.Listen = doc.PeerListen
	return nil
}

func firstNonEmpty(values ...string) string {
	for _, v := range values {
		if v != "" {
			return v
		}
	}
	return ""
}

func checkAddress(s string) error {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("%q is not address:port", s)
	}
	if !a.Addr().IsValid() {
		return fmt.Errorf("%q has no address", s)
	}
	return nil
}
