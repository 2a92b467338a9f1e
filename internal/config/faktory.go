package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"cobaltflow/rules"
)

// Faktory is the second front's section; without a listen address the front is off. Sizes in MB and KB are
// 2^20 and 2^10 bytes.
type Faktory struct {
	Listen            string            `json:"listen"`
	Password          string            `json:"password"`
	HashRounds        int               `json:"hash_rounds"`
	Queue             string            `json:"queue"`         // of jobs that came in by the other front, and of those that name none
	TableQueues       []string          `json:"table_queues"`  // whose jobs the table workers run too; nil: Queue's
	TableWindow       int               `json:"table_window"`  // jobs of such a queue that may be with them at once
	Jobtypes          map[string]string `json:"jobtypes"`      // jobtype to class; a class's own name needs no entry
	DefaultClass      string            `json:"default_class"` // of jobtypes without an entry; empty: they are not taken
	HeartbeatTimeoutS float64           `json:"beat_s"`        // a worker silent for so long has vanished
	ReserveS          int               `json:"reserve_s"`     // for which a fetched job is a worker's, where it says nothing itself
	StopS             float64           `json:"stop_s"`        // for which fetched jobs are waited for at the end
	AllowFlush        bool              `json:"allow_flush"`
	MaxSessions       int               `json:"max_sessions"`
	MaxCommandKB      int               `json:"max_command_kb"`
	MaxInputMB        int               `json:"max_input_mb"` // of commands that are not whole yet, or not handled, all together
	MaxQueues         int               `json:"max_queues"`

	MaxHeldJobs   int `json:"max_held_jobs"` // scheduled, enqueued, working and in retries together
	MaxHeldMB     int `json:"max_held_mb"`
	MaxQueueJobs  int `json:"max_queue_jobs"`
	MaxClientJobs int `json:"max_client_jobs"` // of one client address
	MaxClientMB   int `json:"max_client_mb"`
	MaxScheduled  int `json:"max_scheduled"`
	MaxRetries    int `json:"max_retries"`
	MaxDead       int `json:"max_dead"`
	MaxDeadMB     int `json:"max_dead_mb"`
	MaxEndedJobs  int `json:"kept_jobs"` // ended jobs that can be looked up
	MaxEndedMB    int `json:"kept_mb"`
}

// On tells whether the front listens at all.
func (f *Faktory) IsEnabled() bool { return f.Listen != "" }

// Beat is the time within which a worker has to give a sign of life.
func (f *Faktory) HeartbeatTimeout() rules.Time { return rules.Time(f.HeartbeatTimeoutS * 1e6) }

// RunsAtTables tells whether the table workers run the jobs of a queue too.
func (f *Faktory) UsesTableWorkers(queue string) bool {
	if f.TableQueues == nil {
		return queue == f.Queue
	}
	return slices.Contains(f.TableQueues, queue)
}

// DefaultFaktory is the section of a file that says nothing: off.
func DefaultFaktory() Faktory {
	return Faktory{Queue: "default", HashRounds: 1545, TableWindow: 8, HeartbeatTimeoutS: 60, ReserveS: 1800, StopS: 25,
		MaxSessions: 128, MaxCommandKB: 8192, MaxInputMB: 32, MaxQueues: 128, MaxHeldJobs: 100_000, MaxHeldMB: 64,
		MaxQueueJobs: 100_000, MaxClientJobs: 100_000, MaxClientMB: 64, MaxScheduled: 100_000, MaxRetries: 100_000,
		MaxDead: 10_000, MaxDeadMB: 16, MaxEndedJobs: 4096, MaxEndedMB: 16}
}

// faktory takes the section over.
func (c *Config) readFaktory(text *json.RawMessage) error {
	c.Faktory = DefaultFaktory()
	if err := readSection("faktory", text, &c.Faktory); err != nil {
		return err
	}
	return c.checkFaktory()
}

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
	if most := c.Limits.MemoryMB / 2; f.MaxHeldMB+f.MaxDeadMB+f.MaxEndedMB > most {
		return newError("faktory.max_held_mb", "%d with max_dead_mb %d and kept_mb %d is over %d, half of limits.memory_mb",
			f.MaxHeldMB, f.MaxDeadMB, f.MaxEndedMB, most)
	}
	if f.MaxCommandKB > f.MaxInputMB<<10 {
		return newError("faktory.max_command_kb", "%d is over max_input_mb, %d", f.MaxCommandKB, f.MaxInputMB)
	}
	for jobtype, class := range f.Jobtypes {
		if c.Names.Class(class) < 0 {
			return newError(fmt.Sprintf("faktory.jobtypes.%s", jobtype), "%q is no class", class)
		}
	}
	if f.DefaultClass != "" && c.Names.Class(f.DefaultClass) < 0 {
		return newError("faktory.default_class", "%q is no class", f.DefaultClass)
	}
	return nil
}

// JobClass gives the class of a jobtype; -1: none.
func (c *Config) JobClass(jobtype string) int {
	if class, ok := c.Faktory.Jobtypes[jobtype]; ok {
		return c.Names.Class(class)
	}
	if n := c.Names.Class(jobtype); n >= 0 || c.Faktory.DefaultClass == "" {
		return n
	}
	return c.Names.Class(c.Faktory.DefaultClass)
}
