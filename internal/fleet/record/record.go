// Package record defines the records of a run: tries of clients, attempts at table workers, load samples, worker list
// updates, events and the harness's own lag. Packages fleet and endpoints fill them, and soak and experiment save them: one
// Parquet file for each table, beside about.json.
package record

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"
)

// Try is one HTTP request that a client sent; a retry is a try of its own. Times are in microseconds since the clients
// began.
type Try struct {
	Request     int32  `parquet:"request"` // index of the request, the same for its retries
	Number      int32  `parquet:"number"`  // 0: the first try of the request
	ID          string `parquet:"id"`
	Class       int32  `parquet:"class,dict"`
	Site        int32  `parquet:"site,dict"` // of the client
	Scheduler   int32  `parquet:"scheduler,dict"`
	Key         int32  `parquet:"key"`
	RunUS       int64  `parquet:"run_us"` // running time at speed 1
	DueUS       int64  `parquet:"due_us"` // of the request, not of the retry
	SentUS      int64  `parquet:"sent_us"`
	DialedUS    int64  `parquet:"dialed_us"`    // the client began to connect; 0: it did not
	ConnectedUS int64  `parquet:"connected_us"` // the client had its connection; 0: it never had one
	WrittenUS   int64  `parquet:"written_us"`   // the connection had taken the whole request; 0: it never did
	// AnsweredUS is when the client's machine had the last byte of the answer, by the kernel's time stamp, also if the client
	// left before it acted on it; 0: no answer.
	AnsweredUS    int64  `parquet:"answered_us"`
	ClosedUS      int64  `parquet:"closed_us"` // a client that disconnected had closed its connection; 0: it had none
	EndedUS       int64  `parquet:"ended_us"`  // the client acted on the end
	TimeLeftMS    int64  `parquet:"left_ms"`   // until the client's deadline
	CancelUS      int64  `parquet:"leaves_us"` // time drawn for the client to disconnect before its deadline; 0: none
	Status        int32  `parquet:"status"`    // of the answer; 0: no answer
	End           string `parquet:"end,dict"`
	Error         string `parquet:"fault,dict"` // error of a try without an answer
	RetryAfterMS  int64  `parquet:"after_ms"`   // Retry-After; below 0: none
	IsCorrect     bool   `parquet:"right"`      // the answer is the result that a table worker sent for this try
	ReusedConn    bool   `parquet:"reused"`     // the connection had been used before
	ClientAddress string `parquet:"from"`       // of the connection
}

// StartUS returns the time from which the client's time left counts: when it had sent its request, or was about to where
// that never came about.
func (t *Try) StartUS() int64 {
	if t.WrittenUS > 0 {
		return t.WrittenUS
	}
	return t.SentUS
}

// DeadlineUS returns the time until which the client needs its answer.
func (t *Try) DeadlineUS() int64 { return t.StartUS() + t.TimeLeftMS*1000 }

// AnswerUS returns the time of an answer: that of its last byte at the client's machine. A client that runs late itself
// acts on it later, at EndedUS.
func (t *Try) AnswerUS() int64 {
	if t.AnsweredUS > 0 {
		return t.AnsweredUS
	}
	return t.EndedUS
}

// GoneUS returns the time at which a client that disconnected had closed its connection.
func (t *Try) GoneUS() int64 { return max(t.ClosedUS, t.EndedUS) }

// Values of Try.End.
const (
	EndAnswered    = "answered"
	EndUnreachable = "unreachable" // no connection was established
	EndBroken      = "broken"      // the connection ended without an answer
	EndCancelled   = "left"        // the client disconnected, at its deadline or before
)

// Attempt is one attempt at a table worker. Times are as in Try.
type Attempt struct {
	ID          string `parquet:"id"`
	Worker      int32  `parquet:"worker"`
	Scheduler   int32  `parquet:"scheduler"`
	ReceivedUS  int64  `parquet:"received_us"` // the worker's machine had its last bytes, by the kernel's time stamp, before the path's delay
	ReachedUS   int64  `parquet:"reached_us"`  // ReceivedUS and the path's delay; 0: not known
	ArrivedUS   int64  `parquet:"arrived_us"`  // the worker acted on it
	StartedUS   int64  `parquet:"started_us"`  // 0: not started
	EndedUS     int64  `parquet:"ended_us"`
	QueueLength int32  `parquet:"waiting"` // jobs that waited on its arrival
	TimeLeftMS  int64  `parquet:"left_ms"` // stated by the scheduler; below 0: not stated
	FetchedKey  bool   `parquet:"fetched"`
	Outcome     string `parquet:"how,dict"`
}

// ReachUS returns the time at which the attempt reached the worker's machine. A worker that runs late itself, as a part of
// the harness, acts on it later, at ArrivedUS.
func (a *Attempt) ReachUS() int64 {
	if a.ReachedUS > 0 {
		return a.ReachedUS
	}
	return a.ArrivedUS
}

// Values of Attempt.Outcome.
const (
	OutcomeDone      = "done"
	OutcomeFailed    = "failed"
	OutcomeQueueFull = "full"
	OutcomeCancelled = "withdrawn" // before its start
	OutcomeLost      = "lost"      // the worker crashed, collapsed or became silent
	OutcomeOpen      = "open"      // still waiting or running when the run ended
)

// Sample is the load of a table worker at a time.
type Sample struct {
	AtUS        int64   `parquet:"at_us"`
	Worker      int32   `parquet:"worker"`
	Running     float32 `parquet:"running"`
	Waiting     int32   `parquet:"waiting"`
	UsableSlots float32 `parquet:"room"` // slots, reduced while the worker is cold; 0: down or silent
}

// ListUpdate is a worker list update for a scheduler.
type ListUpdate struct {
	AtUS      int64  `parquet:"at_us"`      // discovery had it
	WrittenUS int64  `parquet:"written_us"` // it was written to a watch that was open at AtUS; 0: there was none
	Scheduler int32  `parquet:"scheduler"`
	Worker    int32  `parquet:"worker"`
	Status    string `parquet:"status,dict"`
}

// maxToldUS is how long after discovery had a change it counts as told, by the operators' terms.
const maxToldUS = 6_000_000

// ToldUS returns the time from which the scheduler knows of the update.
func (u *ListUpdate) ToldUS() int64 {
	if u.WrittenUS == 0 {
		return u.AtUS
	}
	return max(u.AtUS, min(u.WrittenUS, u.AtUS+maxToldUS))
}

// Event is the start or end of a fault, or an event of a process, a worker or an operator's call.
type Event struct {
	AtUS      int64  `parquet:"at_us"`
	Kind      string `parquet:"what,dict"`
	Text      string `parquet:"text"`
	Scheduler int32  `parquet:"scheduler"` // below 0: none
	Worker    int32  `parquet:"worker"`    // below 0: none
	IsEnd     bool   `parquet:"ends"`
	CalledUS  int64  `parquet:"called_us"` // time of the operator's call that caused the event; 0: none
	BegunUS   int64  `parquet:"begun_us"`  // of the end of a fault: from when it took effect, bit by bit until AtUS; 0: not known
}

// Lag is how late the harness itself ran: the greatest delay of a goroutine that does nothing but wake every few
// milliseconds. Clients and table workers are goroutines of the same process, and are late as it is.
type Lag struct {
	FromUS int64 `parquet:"from_us"` // start of the interval
	ToUS   int64 `parquet:"to_us"`
	LagUS  int64 `parquet:"lag_us"`
}

// Records holds the records of one run.
type Records struct {
	Tries       []Try
	Attempts    []Attempt
	Samples     []Sample
	ListUpdates []ListUpdate
	Events      []Event
	Lags        []Lag
	About       About
}

// About describes a run and holds its totals.
type About struct {
	Scenario         json.RawMessage        `json:"scenario"`
	Seed             uint64                 `json:"seed"`
	StartUnixUS      int64                  `json:"start_unix_us"` // wall clock at the time that all recorded times count from
	Build            string                 `json:"build"`
	Arm              string                 `json:"arm"`
	Paths            map[string]PathTraffic `json:"paths"`
	Probes           int64                  `json:"probes"`
	CollapsedWorkers []int32                `json:"fallen"` // overloaded while cold, and not started again
	Messages         uint64                 `json:"messages"`
	OversizeMessages uint64                 `json:"too_long"` // peer messages over 256 bytes
}

// PathTraffic is the traffic on a kind of path.
type PathTraffic struct{ Opened, Messages, Bytes uint64 }

// Save writes the records into a directory, which it creates if necessary.
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
		func() error { return write(dir, "events", r.Events) }, func() error { return write(dir, "lags", r.Lags) },
	} {
		if err == nil {
			err = save()
		}
	}
	return err
}

// Open reads the records that Save has written into a directory.
func Open(dir string) (*Records, error) {
	r := &Records{}
	text, err := os.ReadFile(filepath.Join(dir, "about.json"))
	if err == nil {
		err = json.Unmarshal(text, &r.About)
	}
	for _, readTable := range []func() error{
		func() (err error) { r.Tries, err = read[Try](dir, "tries"); return }, func() (err error) { r.Attempts, err = read[Attempt](dir, "runs"); return },
		func() (err error) { r.Samples, err = read[Sample](dir, "samples"); return }, func() (err error) { r.ListUpdates, err = read[ListUpdate](dir, "told"); return },
		func() (err error) { r.Events, err = read[Event](dir, "events"); return },
		func() (err error) { r.Lags, err = read[Lag](dir, "lags"); return },
	} {
		if err == nil {
			err = readTable()
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
