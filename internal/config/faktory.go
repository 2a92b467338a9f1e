package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"cobaltflow/rules"
)

// Faktory is the configuration section of the Faktory front, which is off without a listen address. Sizes in MB and KB
// are 2^20 and 2^10 bytes.
type Faktory struct {
	Listen            string            `json:"listen"`
	Password          string            `json:"password"`
	HashRounds        int               `json:"hash_rounds"`
	Queue             string            `json:"queue"`         // of jobs from the HTTP fronts and of jobs that name no queue
	TableQueues       []string          `json:"table_queues"`  // queues whose jobs the table workers run too; nil: Queue
	TableWindow       int               `json:"table_window"`  // maximum number of jobs of such a queue that are at table workers at the same time
	Jobtypes          map[string]string `json:"jobtypes"`      // jobtype to class; a jobtype that is a class name needs no entry
	DefaultClass      string            `json:"default_class"` // of jobtypes without an entry; empty: their jobs are rejected
	HeartbeatTimeoutS float64           `json:"beat_s"`        // a worker without a heartbeat for this long is considered lost
	ReserveS          int               `json:"reserve_s"`     // default reservation time of a fetched job
	StopS             float64           `json:"stop_s"`        // how long a shutdown waits for fetched jobs
	AllowFlush        bool              `json:"allow_flush"`
	MaxSessions       int               `json:"max_sessions"`
	MaxCommandKB      int               `json:"max_command_kb"`
	MaxInputMB        int               `json:"max_input_mb"` // incomplete and unhandled commands of all connections together
	MaxQueues         int               `json:"max_queues"`

	MaxHeldJobs   int `json:"max_held_jobs"` // scheduled, enqueued, working and in retries together
	MaxHeldMB     int `json:"max_held_mb"`
	MaxQueueJobs  int `json:"max_queue_jobs"`
	MaxClientJobs int `json:"max_client_jobs"` // per client address
	MaxClientMB   int `json:"max_client_mb"`
	MaxScheduled  int `json:"max_scheduled"`
	MaxRetries    int `json:"max_retries"`
	MaxDead       int `json:"max_dead"`
	MaxDeadMB     int `json:"max_dead_mb"`
	MaxEndedJobs  int `json:"kept_jobs"` // ended jobs kept for lookup
	MaxEndedMB    int `json:"kept_mb"`
}

// IsEnabled reports whether the front listens.
func (f *Faktory) IsEnabled() bool { return f.Listen != "" }

// HeartbeatTimeout returns the time after which a worker without a heartbeat is considered lost.
func (f *Faktory) HeartbeatTimeout() rules.Time { return rules.Time(f.HeartbeatTimeoutS * 1e6) }

// UsesTableWorkers reports whether the table workers run the jobs of a queue too.
func (f *Faktory) UsesTableWorkers(queue string) bool {
	if f.TableQueues == nil {
		return queue == f.Queue
	}
	return slices.Contains(f.TableQueues, queue)
}

// DefaultFaktory returns the section's defaults, with the front off.
func DefaultFaktory() Faktory {
	return Faktory{Queue: "default", HashRounds: 1545, TableWindow: 8, HeartbeatTimeoutS: 60, ReserveS: 1800, StopS: 25,
		MaxSessions: 128, MaxCommandKB: 8192, MaxInputMB: 32, MaxQueues: 128, MaxHeldJobs: 100_000, MaxHeldMB: 64,
		MaxQueueJobs: 100_000, MaxClientJobs: 100_000, MaxClientMB: 64, MaxScheduled: 100_000, MaxRetries: 100_000,
		MaxDead: 10_000, MaxDeadMB: 16, MaxEndedJobs: 4096, MaxEndedMB: 16}
}

// readFaktory reads the section over its defaults.
func (c *Config) readFaktory(text *json.RawMessage) error {
	c.Faktory = DefaultFaktory()
	if err := readSection("faktory", text, &c.Faktory); err != nil {
		return err
	}
	return c.checkFaktory()
}

// checkFaktory validates the section against the limits and the classes.
func (c *Config) checkFaktory() error {
	f := &c.Faktory
	if !f.IsEnabled() {
		return nil
	}
	if err := checkAddress(f.Listen); err != nil {
		return newError("faktory.listen", "%v", err)
	}
	if f.MaxSessions > c.Limits.Sockets/4 {
		return newError("faktory.max_sessions", "%d is over %d, a quarter of limits.sockets", f.MaxSessions, c.Limits.Sockets/4)
	}
	if maxMB := c.Limits.MemoryMB / 2; f.MaxHeldMB+f.MaxDeadMB+f.MaxEndedMB > maxMB {
		return newError("faktory.max_held_mb", "%d with max_dead_mb %d and kept_mb %d is over %d, half of limits.memory_mb",
			f.MaxHeldMB, f.MaxDeadMB, f.MaxEndedMB, maxMB)
	}
	if f.MaxCommandKB > f.MaxInputMB<<10 {
		return newError("faktory.max_command_kb", "%d is over max_input_mb, %d", f.MaxCommandKB, f.MaxInputMB)
	}
	for jobtype, class := range f.Jobtypes {
		if c.Names.Class(class) < 0 {
			return newError(fmt.Sprintf("faktory.jobtypes.%s", jobtype), "%q is not a class", class)
		}
	}
	if f.DefaultClass != "" && c.Names.Class(f.DefaultClass) < 0 {
		return newError("faktory.default_class", "%q is not a class", f.DefaultClass)
	}
	return nil
}

// JobClass returns the class of a jobtype, or -1 if it has none.
func (c *Config) JobClass(jobtype string) int {
	if class, ok := c.Faktory.Jobtypes[jobtype]; ok {
		return c.Names.Class(class)
	}
	if n := c.Names.Class(jobtype); n >= 0 || c.Faktory.DefaultClass == "" {
		return n
	}
	return c.Names.Class(c.Faktory.DefaultClass)
}
