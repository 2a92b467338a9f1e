// Package demo runs a gateway with the embedded example configuration in one process, together with table workers, Faktory
// workers and clients that submit jobs of mixed classes, and prints a table of the outcomes. The command's demo calls it.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cobaltflow/internal/config"
	"cobaltflow/internal/faktory/client"
	"cobaltflow/internal/gateway"
	"cobaltflow/internal/measure"
	"cobaltflow/internal/platform"
)

// Options configures a run.
type Options struct {
	Jobs     int           // in total, over both fronts
	Duration time.Duration // time over which the jobs are submitted
	Seed     uint64
	Log      *slog.Logger
}

// tally counts the outcomes of jobs. Its methods may be called from any goroutine.
type tally struct {
	mu   sync.Mutex
	ends map[[2]string]map[string]int // by front and class, then by outcome
	runs map[string]int               // number of runs of each job, by job ID
}

// recordEnd counts a job's outcome.
func (t *tally) recordEnd(front, class, end string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]string{front, class}
	if t.ends[key] == nil {
		t.ends[key] = map[string]int{}
	}
	t.ends[key][end]++
}

// recordRun counts a run of a job.
func (t *tally) recordRun(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}

// Run runs the demonstration and writes its table. It fails if a Faktory job has not ended 20 s after the last one was
// submitted, or if a job ran twice whose class does not allow it.
func Run(ctx context.Context, w io.Writer, o Options) error {
	conf, err := config.LoadExample()
	if err != nil {
		return err
	}
	conf.Listen, conf.Faktory.Listen, conf.HTTP2.Listen = "127.0.0.1:0", "127.0.0.1:0", ""
	t := &tally{ends: map[[2]string]map[string]int{}, runs: map[string]int{}}
	var tableWorkers []*measure.TableWorker
	var entries []config.KnownWorker
	for i := range 3 {
		worker, err := measure.NewTableWorker(fmt.Sprint("table-", i), 4, 30*time.Millisecond, t.recordRun)
		if err != nil {
			return err
		}
		defer worker.Close()
		tableWorkers = append(tableWorkers, worker)
		entries = append(entries, config.KnownWorker{Name: fmt.Sprint("table-", i), Address: worker.Address()})
	}
	if err := conf.SetKnownWorkers(entries); err != nil {
		return err
	}
	g := gateway.New(conf, o.Log)
	if err := g.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		g.Run()
		close(ended)
	}()
	defer func() {
		g.Stop()
		<-ended
	}()
	for _, worker := range tableWorkers {
		worker.SendCallbacksTo(g.Front.Address())
	}
	fmt.Fprintf(w, "gateway: HTTP on %s, Faktory on %s; 3 table workers, 4 Faktory workers; %d jobs over %v\n",
		g.Front.Address(), g.Faktory.Address(), o.Jobs, o.Duration)

	workersCtx, stop := context.WithCancel(ctx)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer stop()
	for i := range 4 {
		workers.Go(func() { runFaktoryWorker(workersCtx, g.Faktory.Address(), i, o.Seed, t) })
	}
	if err := submitAll(ctx, g, o, conf, t); err != nil {
		return err
	}
	t.writeTable(w)
	for id, n := range t.runs {
		if n > 1 && !strings.Contains(id, "board-view") {
			return fmt.Errorf("job %s ran %d times", id, n)
		}
	}
	return ctx.Err()
}

// runFaktoryWorker runs a worker of the Faktory protocol. It acknowledges most jobs, fails some, and for 2 % disconnects
// without a report and reconnects under another worker ID.
func runFaktoryWorker(ctx context.Context, address string, i int, seed uint64, t *tally) {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	for connection := 0; ctx.Err() == nil; connection++ {
		c, err := client.Dial(address, client.Options{WID: fmt.Sprintf("demo-%d-%d", i, connection), PID: connection})
		if err != nil {
			return
		}
		stopClosing := context.AfterFunc(ctx, func() { c.Close() })
		for {
			j, err := c.Fetch("default", "tables")
			if err != nil {
				break
			}
			if j == nil {
				continue
			}
			t.recordRun(j.JID)
			time.Sleep(time.Duration(10+rng.IntN(30)) * time.Millisecond)
			switch n := rng.IntN(100); {
			case n < 2:
				c.Close() // the worker disconnects without reporting the job's outcome
			case n < 8:
				err = c.Fail(j.JID, "DemoError", "one of the few that fail")
			default:
				err = c.Ack(j.JID)
			}
			if err != nil {
				break
			}
		}
		stopClosing()
		c.Close()
	}
}

// endTimeout is how long submitAll waits for the ends of the Faktory jobs after the last HTTP answer.
const endTimeout = 20 * time.Second

// submitAll submits all jobs, half over each front, and waits until each has ended.
func submitAll(ctx context.Context, g *gateway.Gateway, o Options, conf *config.Config, t *tally) error {
	rng := rand.New(rand.NewPCG(o.Seed, 99))
	producer, err := client.Dial(g.Faktory.Address(), client.Options{})
	if err != nil {
		return err
	}
	defer producer.Close()
	var httpJobs sync.WaitGroup
	var pushed []string
	pause := o.Duration / time.Duration(max(1, o.Jobs))
	for n := range o.Jobs {
		class := conf.Names.Classes[[]int{0, 0, 0, 1, 1, 1, 2}[rng.IntN(7)]]
		id := fmt.Sprintf("demo-%s-%05d", class, n)
		if n%2 == 0 {
			httpJobs.Go(func() { t.recordEnd("HTTP", class, submitHTTP(g.Front.Address(), class, id)) })
		} else if err := producer.Push(client.Job{JID: id, Type: class, Args: []any{n}, Queue: "default",
			Custom: map[string]any{"time_left_ms": 10_000}}); err != nil {
			t.recordEnd("Faktory", class, "turned away")
		} else {
			pushed = append(pushed, id)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	httpJobs.Wait()
	deadline := time.Now().Add(endTimeout)
	for len(pushed) > 0 {
		pushed = slices.DeleteFunc(pushed, func(id string) bool {
			r, err := producer.Do("TRACK", "GET "+id)
			end := ""
			for _, s := range []string{"served", "refused", "failed", "dead", "retries"} {
				if err == nil && strings.Contains(r.Text, `"state":"`+s+`"`) {
					end = s
				}
			}
			if end == "" {
				return false
			}
			t.recordEnd("Faktory", strings.TrimPrefix(id, "demo-")[:len(id)-len("demo--00000")], end)
			return true
		})
		if time.Now().After(deadline) {
			return fmt.Errorf("%d jobs have no end, for instance %s", len(pushed), pushed[0])
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// submitHTTP submits a job over HTTP, waits for its answer and returns the outcome.
func submitHTTP(address, class, id string) string {
	req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/%s/t%d", address, class, len(id)%7), strings.NewReader("demo"))
	req.Header.Set(platform.HeaderID, id)
	req.Header.Set(platform.HeaderClass, class)
	req.Header.Set(platform.HeaderTimeLeft, "10000")
	resp, err := http.DefaultClient.Do(req)
	var netErr net.Error
	if errors.As(err, &netErr) || err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	switch resp.StatusCode {
	case 200:
		return "served"
	case 429, 503:
		return "refused"
	}
	return "failed"
}

// writeTable writes a table of the outcomes by front and class.
func (t *tally) writeTable(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcomes := []string{"served", "refused", "failed", "dead", "retries", "turned away", "no answer"}
	var keys [][2]string
	for k := range t.ends {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return strings.Compare(a[0]+a[1], b[0]+b[1]) })
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "front\tclass\tjobs\t%s\t\n", strings.Join(outcomes, "\t"))
	for _, k := range keys {
		all, cells := 0, ""
		for _, outcome := range outcomes {
			all += t.ends[k][outcome]
			cells += fmt.Sprintf("%d\t", t.ends[k][outcome])
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\n", k[0], k[1], all, cells)
	}
	tw.Flush()
	fmt.Fprintln(w, "A move or settle that a worker failed, or vanished with, is dead: it may have run and never runs again.\nA board-view may run again, so it stands in retries.")
}
