// Package record holds what a run of the rig wrote down: tries of clients, runs at table workers, how full each was, and
// the faults. It is kept as Parquet files, one a table, beside the scenario.
package record

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"
)

// Try is one request of a client, or a repeat of it. Times are microseconds from the moment at which clients began.
type Try struct {
	Request       int32  `parquet:"request"`
	Number        int32  `parquet:"number"`
	ID            string `parquet:"id"`
	Class         int32  `parquet:"class,dict"`
	Site          int32  `parquet:"site,dict"` // of the client
	Scheduler     int32  `parquet:"scheduler,dict"`
	Key           int32  `parquet:"key"`
	RunUS         int64  `parquet:"run_us"` // at speed 1
	DueUS         int64  `parquet:"due_us"` // of the request, not of the repeat
	SentUS        int64  `parquet:"sent_us"`
	EndedUS       int64  `parquet:"ended_us"`
	TimeLeftMS    int64  `parquet:"left_ms"`   // for which the client waits
	CancelUS      int64  `parquet:"leaves_us"` // when it was drawn to leave, before its time is over; 0: it was not
	Status        int32  `parquet:"status"`    // of the answer; 0: none
	End           string `parquet:"end,dict"`
	Error         string `parquet:"fault,dict"` // what went wrong, where there is no answer
	RetryAfterMS  int64  `parquet:"after_ms"`   // Retry-After; below 0: none
	IsCorrect     bool   `parquet:"right"`      // the answer is what a table worker gave for it
	ReusedConn    bool   `parquet:"reused"`     // it went on a connection that had been used before
	ClientAddress string `parquet:"from"`       // the client's end of its connection
}

// Ends of tries that got no answer.
const (
	EndAnswered    = "answered"
	EndUnreachable = "unreachable" // no connection came up
	EndBroken      = "broken"      // the connection ended without an answer
	EndCancelled   = "left"        // the client's time was over
)

// Run is one attempt at a table worker.
type Attempt struct {
	ID          string `parquet:"id"`
	Worker      int32  `parquet:"worker"`
	Scheduler   int32  `parquet:"scheduler"`
	ArrivedUS   int64  `parquet:"arrived_us"`
	StartedUS   int64  `parquet:"started_us"` // 0: never
	EndedUS     int64  `parquet:"ended_us"`
	QueueLength int32  `parquet:"waiting"` // jobs that waited as it came
	TimeLeftMS  int64  `parquet:"left_ms"` // that it was told to be left; below 0: it was told nothing
	FetchedKey  bool   `parquet:"fetched"`
	Outcome     string `parquet:"how,dict"`
}

// How runs ended.
const (
	OutcomeDone      = "done"
	OutcomeFailed    = "failed"
	OutcomeQueueFull = "full"
	OutcomeCancelled = "withdrawn" // given up before its start
	OutcomeLost      = "lost"      // with its worker
	OutcomeOpen      = "open"      // when the run of the rig ended
)

// Sample is how full a table worker was.
type Sample struct {
	AtUS        int64   `parquet:"at_us"`
	Worker      int32   `parquet:"worker"`
	Running     float32 `parquet:"running"`
	Waiting     int32   `parquet:"waiting"`
	UsableSlots float32 `parquet:"room"` // slots that it can use now; 0: it is gone
}

// Told is a change of the list as a scheduler was told it.
type ListUpdate struct {
	AtUS      int64  `parquet:"at_us"`
	Scheduler int32  `parquet:"scheduler"`
	Worker    int32  `parquet:"worker"`
	Status    string `parquet:"status,dict"`
}

// Event is a fault, its end, or what a process did.
type Event struct {
	AtUS      int64  `parquet:"at_us"`
	Kind      string `parquet:"what,dict"`
	Text      string `parquet:"text"`
	Scheduler int32  `parquet:"scheduler"` // below 0: none
	Worker    int32  `parquet:"worker"`    // below 0: none
	IsEnd     bool   `parquet:"ends"`
	CalledUS  int64  `parquet:"called_us"` // of what an operator's call brought about: when it was made; else 0
}

// Records are those of one run.
type Records struct {
	Tries       []Try
	Attempts    []Attempt
	Samples     []Sample
	ListUpdates []ListUpdate
	Events      []Event
	About       About
}

// About says what was played.
type About struct {
	Scenario         json.RawMessage        `json:"scenario"`
	Seed             uint64                 `json:"seed"`
	Build            string                 `json:"build"`
	Arm              string                 `json:"arm"`
	Paths            map[string]PathTraffic `json:"paths"`
	Probes           int64                  `json:"probes"`
	CollapsedWorkers []int32                `json:"fallen"` // table workers that were pushed over
	Messages         uint64                 `json:"messages"`
	OversizeMessages uint64                 `json:"too_long"`
}

// Path is what passed on a kind of path.
type PathTraffic struct{ Opened, Messages, Bytes uint64 }

// Save writes the records into a directory.
func (r *Records) Save(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	about, err := json.MarshalIndent(r.About, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "about.json"), about, 0o644)
	}
	for _, save := range []func() error{
		func() error { return write(dir, "tries", r.Tries) }, func() error { return write(dir, "runs", r.Attempts) },
		func() error { return write(dir, "samples", r.Samples) }, func() error { return write(dir, "told", r.ListUpdates) },
		func() error { return write(dir, "events", r.Events) },
	} {
		if err == nil {
			err = save()
		}
	}
	return err
}

// Open reads the records of a directory.
func Open(dir string) (*Records, error) {
	r := &Records{}
	text, err := os.ReadFile(filepath.Join(dir, "about.json"))
	if err == nil {
		err = json.Unmarshal(text, &r.About)
	}
	for _, read := range []func() error{
		func() (err error) { r.Tries, err = read[Try](dir, "tries"); return }, func() (err error) { r.Attempts, err = read[Attempt](dir, "runs"); return },
		func() (err error) { r.Samples, err = read[Sample](dir, "samples"); return }, func() (err error) { r.ListUpdates, err = read[ListUpdate](dir, "told"); return },
		func() (err error) { r.Events, err = read[Event](dir, "events"); return },
	} {
		if err == nil {
			err = read()
		}
	}
	return r, err
}

func write[T any](dir, name string, rows []T) error {
	return parquet.WriteFile(filepath.Join(dir, name+".parquet"), rows, parquet.Compression(&parquet.Zstd))
}

func read[T any](dir, name string) ([]T, error) {
	return parquet.ReadFile[T](filepath.Join(dir, name+".parquet"))
}
