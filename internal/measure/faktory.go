package measure

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cobaltflow/internal/faktory/client"
)

// classTable holds the classes that a measured gateway is configured with.
var classTable = []struct {
	name, effect                string
	deadlineMS, latencyTargetMS int
	value                       float64
}{{"board-view", "repeatable", 5000, 500, 3}, {"move", "once", 10000, 1000, 2}, {"settle", "once", 20000, 1200, 10}}

// The closed loop's numbers of clients.
const (
	pushers     = 32
	workers     = 16
	maxInFlight = 64 // jobs pushed and not yet acknowledged
)

// RunFaktory measures the Faktory front and writes tables in Markdown.
func RunFaktory(ctx context.Context, w io.Writer, o Options) error {
	return runParts(ctx, w, &o, []part{
		{"cycles", func() error { return measureCycles(ctx, w, o) }}, {"bulk", func() error { return measureBulk(ctx, w, o) }},
		{"latency", func() error { return measureLatency(ctx, w, o) }}, {"memory", func() error { return measureMemory(ctx, w, o) }},
		{"held", func() error { return measureHeld(ctx, w, o) }}, {"flood", func() error { return measureFlood(ctx, w, o) }}})
}

// load generates jobs with pushers and workers in a closed loop, or in an open loop if rate is above 0.
type load struct {
	address    string
	queue      string
	rate       float64 // jobs per second in total; 0: as fast as the workers acknowledge them
	padding    string  // an argument of each job
	timeLeftMS int     // time_left_ms of each job; 0: not set

	done      atomic.Int64
	refused   atomic.Int64
	latencies *hdrhistogram.Histogram // microseconds from a job's due time to the worker's receipt
	mu        sync.Mutex
	tokens    chan struct{} // one for each job in flight of the closed loop
}

// run runs the load until ctx ends.
func (l *load) run(ctx context.Context, pusherCount, workerCount int) error {
	l.tokens = make(chan struct{}, maxInFlight)
	l.latencies = hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	errs := make(chan error, pusherCount+workerCount)
	start := time.Now()
	run := func(f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && ctx.Err() == nil {
				errs <- err
			}
		})
	}
	for i := range workerCount {
		run(func() error { return l.work(ctx, start, i) })
	}
	for i := range pusherCount {
		run(func() error { return l.push(ctx, start, i, pusherCount) })
	}
	wg.Wait()
	close(errs)
	return errors.Join(<-errs)
}

// openConn connects to the Faktory front, as a worker if wid is set. The connection closes when ctx ends.
func openConn(ctx context.Context, address, wid string) (*client.Conn, error) {
	c, err := client.Dial(address, client.Options{WID: wid})
	if err == nil {
		context.AfterFunc(ctx, func() { c.Close() })
	}
	return c, err
}

// nextID numbers the jobs and workers of all measurements.
var nextID atomic.Int64

// push runs the i-th of a number of connections that push jobs. The first argument of a job is its due time in microseconds
// since start.
func (l *load) push(ctx context.Context, start time.Time, i, connections int) error {
	c, err := openConn(ctx, l.address, "")
	if err != nil {
		return err
	}
	defer c.Close()
	next := 0.0 // due time in seconds
	if l.rate > 0 {
		next = float64(i) / l.rate
	}
	custom := ""
	if l.timeLeftMS > 0 {
		custom = fmt.Sprintf(`,"custom":{"time_left_ms":%d}`, l.timeLeftMS)
	}
	for ctx.Err() == nil {
		due := time.Since(start)
		if l.rate > 0 {
			due = time.Duration(next * float64(time.Second))
			if wait := due - time.Since(start); wait > 0 {
				time.Sleep(wait)
			}
			next += float64(connections) / l.rate
		} else {
			select {
			case l.tokens <- struct{}{}:
			case <-ctx.Done():
				return nil
			}
		}
		r, err := c.Do("PUSH", fmt.Sprintf(`{"jid":"load-%012d","jobtype":"board-view","queue":%q,"retry":0,"args":[%d,%q]%s}`,
			nextID.Add(1), l.queue, due.Microseconds(), l.padding, custom))
		if err != nil {
			return err
		}
		if !r.IsOK() {
			l.refused.Add(1)
			if l.rate == 0 {
				<-l.tokens
			}
		}
	}
	return nil
}

// work runs a worker connection that fetches and acknowledges jobs.
func (l *load) work(ctx context.Context, start time.Time, i int) error {
	c, err := openConn(ctx, l.address, fmt.Sprintf("measure-%s-%d-%d", l.queue, i, nextID.Add(1)))
	if err != nil {
		return err
	}
	defer c.Close()
	for ctx.Err() == nil {
		r, err := c.Do("FETCH", l.queue)
		if err != nil {
			return err
		}
		if r.IsNull {
			continue
		}
		now := time.Since(start)
		jid, due := textBetween(r.Text, `"jid":"`, `"`), textBetween(r.Text, `"args":[`, `,`)
		var dueMicros int64
		fmt.Sscan(due, &dueMicros)
		if _, err := c.Do("ACK", `{"jid":"`+jid+`"}`); err != nil {
			return err
		}
		l.done.Add(1)
		if l.rate > 0 {
			l.mu.Lock()
			l.latencies.RecordValue(max(1, now.Microseconds()-dueMicros))
			l.mu.Unlock()
		} else {
			select {
			case <-l.tokens:
			default:
			}
		}
	}
	return nil
}

// textBetween returns the part of a text between the first from and the next to.
func textBetween(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	out, _, _ := strings.Cut(rest, to)
	return out
}

// measureRate runs a load for some seconds after a warm-up of a quarter of them, and returns the jobs per second and the
// gateway's CPU time per job.
func measureRate(ctx context.Context, g *gateway, l *load, seconds float64) (perSecond float64, cpu time.Duration, err error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- l.run(runCtx, pushers, workers) }()
	sleep(ctx, time.Duration(seconds/4*float64(time.Second)))
	done, used, start := l.done.Load(), g.cpuTime(), time.Now()
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	n, took := l.done.Load()-done, time.Since(start)
	cpu = g.cpuTime() - used
	cancel()
	err = <-ended
	if n == 0 {
		return 0, 0, errors.Join(err, errors.New("no job was done"))
	}
	return float64(n) / took.Seconds(), cpu / time.Duration(n), err
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// measureCycles compares the closed loop's rate of this build with an earlier one's, in alternation.
func measureCycles(ctx context.Context, w io.Writer, o Options) error {
	fmt.Fprintf(w, "### Cycles (PUSH, FETCH, ACK) on one core, %d pushers, %d workers\n\n| build | cycles/s | CPU µs/cycle |\n| --- | ---: | ---: |\n", pushers, workers)
	for range 2 {
		for _, b := range []gatewayOptions{{binary: o.Binary}, {binary: o.EarlierBinary, isEarlier: true}} {
			if b.binary == "" {
				continue
			}
			b.core = o.Core
			g, err := startGateway(b)
			if err != nil {
				return err
			}
			l := &load{address: g.faktory, queue: "default", padding: strings.Repeat("x", 60)}
			n, cpu, err := measureRate(ctx, g, l, o.Seconds)
			g.stop()
			if err != nil {
				return err
			}
			name := "this"
			if b.isEarlier {
				name = "earlier"
			}
			fmt.Fprintf(w, "| %s | %.0f | %.1f |\n", name, n, float64(cpu.Nanoseconds())/1000)
		}
	}
	return nil
}

// bulkArgument returns the argument of a PUSHB with n jobs of about 200 bytes each.
func bulkArgument(n int, queue string) string {
	var b bytes.Buffer
	b.WriteByte('[')
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		j := fmt.Sprintf(`{"jid":"bulk-%012d","jobtype":"board-view","queue":%q,"args":["","%%s"]}`, nextID.Add(1), queue)
		fmt.Fprintf(&b, j, strings.Repeat("x", max(0, 202-len(j))))
	}
	b.WriteByte(']')
	return b.String()
}

// measureBulk measures PUSHB on several connections.
func measureBulk(ctx context.Context, w io.Writer, o Options) error {
	g, err := startGateway(gatewayOptions{binary: o.Binary, core: o.Core})
	if err != nil {
		return err
	}
	defer g.stop()
	const size, conns = 1000, 4
	var n atomic.Int64
	var busy atomic.Int64
	var wg sync.WaitGroup
	errs := make(chan error, conns)
	began := time.Now()
	for i := range conns {
		wg.Go(func() {
			c, err := openConn(ctx, g.faktory, "")
			if err != nil {
				errs <- err
				return
			}
			queue := fmt.Sprint("bulk-", i)
			for k := 1; time.Since(began).Seconds() < o.Seconds && ctx.Err() == nil; k++ {
				text := bulkArgument(size, queue)
				at := time.Now()
				r, err := c.Do("PUSHB", text)
				busy.Add(int64(time.Since(at)))
				if err != nil || r.Text != "{}" {
					errs <- fmt.Errorf("PUSHB: %.100s%v", r.Text, err)
					return
				}
				if n.Add(size); k%20 == 0 {
					c.Do("QUEUE", "REMOVE "+queue)
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	fmt.Fprintf(w, "### PUSHB on one core, %d connections, %d jobs of 200 bytes in each\n\n| jobs/s | CPU µs/job | wait for a reply, ms |\n| ---: | ---: | ---: |\n| %.0f | %.2f | %.1f |\n",
		conns, size, float64(n.Load())/took, float64(g.cpuTime().Microseconds())/float64(n.Load()), float64(busy.Load())/1e6/float64(n.Load()/size))
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// measureLatency measures the time from a job's due time to its receipt at fractions of the closed loop's rate.
func measureLatency(ctx context.Context, w io.Writer, o Options) error {
	g, err := startGateway(gatewayOptions{binary: o.Binary, core: o.Core})
	if err != nil {
		return err
	}
	defer g.stop()
	maxRate, _, err := measureRate(ctx, g, &load{address: g.faktory, queue: "closed"}, o.Seconds)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "### From when a PUSH was due to the worker's receipt, on one core, %d pushers, %d workers\n\n| load, jobs/s | p50 ms | p99 ms | p99.9 ms | most ms |\n| ---: | ---: | ---: | ---: | ---: |\n", pushers, workers)
	for _, fraction := range []float64{0.25, 0.5, 0.75} {
		l := &load{address: g.faktory, queue: fmt.Sprint("open-", fraction), rate: fraction * maxRate}
		if _, _, err := measureRate(ctx, g, l, o.Seconds); err != nil {
			return err
		}
		ms := func(q float64) float64 { return float64(l.latencies.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "| %.0f (%.0f %%) | %.2f | %.2f | %.2f | %.2f |\n", l.rate, 100*fraction, ms(50), ms(99), ms(99.9), ms(100))
	}
	return nil
}

// measureMemory measures the gateway's memory by the number of held jobs.
func measureMemory(ctx context.Context, w io.Writer, o Options) error {
	fmt.Fprint(w, "### Memory of held jobs of 200 bytes\n\n| held | resident MB | highest MB | bytes a job over an empty one |\n| ---: | ---: | ---: | ---: |\n")
	g, err := startGateway(gatewayOptions{binary: o.Binary, core: o.Core, memoryMB: 192, faktory: map[string]any{"max_held_mb": 64, "max_client_mb": 64}})
	if err != nil {
		return err
	}
	defer g.stop()
	c, err := openConn(ctx, g.faktory, "")
	if err != nil {
		return err
	}
	empty := g.memory("VmRSS")
	fmt.Fprintf(w, "| 0 | %.1f | %.1f | |\n", float64(empty)/(1<<20), float64(g.memory("VmHWM"))/(1<<20))
	for held := 0; held < 100_000; {
		for range 50 {
			if r, err := c.Do("PUSHB", bulkArgument(1000, "held")); err != nil || r.Text != "{}" {
				return fmt.Errorf("PUSHB: %.100s%v", r.Text, err)
			}
			held += 1000
		}
		now := g.memory("VmRSS")
		fmt.Fprintf(w, "| %d | %.1f | %.1f | %d |\n", held, float64(now)/(1<<20), float64(g.memory("VmHWM"))/(1<<20), (now-empty)/int64(held))
	}
	return nil
}

// measureHeld measures the closed loop beside a backlog in the same queue. It runs three rounds over all backlogs, since a
// machine's speed drifts, and prints the round with the median CPU time.
func measureHeld(ctx context.Context, w io.Writer, o Options) error {
	fmt.Fprint(w, "### Cycles beside held jobs of the same queue, on one core, the middle of three rounds\n\n| held | cycles/s | CPU µs/cycle |\n| ---: | ---: | ---: |\n")
	type round struct {
		rate float64
		cpu  time.Duration
	}
	sizes := []int{10, 1000, 100_000}
	rounds := make([][]round, len(sizes))
	for range 3 {
		for i, held := range sizes {
			r := round{}
			var err error
			if r.rate, r.cpu, err = measureCyclesBeside(ctx, o, held); err != nil {
				return err
			}
			rounds[i] = append(rounds[i], r)
		}
	}
	for i, held := range sizes {
		slices.SortFunc(rounds[i], func(a, b round) int { return cmp.Compare(a.cpu, b.cpu) })
		fmt.Fprintf(w, "| %d | %.0f | %.1f |\n", held, rounds[i][1].rate, float64(rounds[i][1].cpu.Nanoseconds())/1000)
	}
	return nil
}

// measureCyclesBeside measures the closed loop of a new gateway that holds a number of jobs in the same queue.
func measureCyclesBeside(ctx context.Context, o Options, held int) (perSecond float64, cpu time.Duration, err error) {
	g, err := startGateway(gatewayOptions{binary: o.Binary, core: o.Core})
	if err != nil {
		return 0, 0, err
	}
	defer g.stop()
	c, err := openConn(ctx, g.faktory, "")
	for n := 0; err == nil && n < held; n += 1000 {
		var r client.Reply
		if r, err = c.Do("PUSHB", bulkArgument(min(held, 1000), "held")); err == nil && r.Text != "{}" {
			err = errors.New(r.Text)
		}
	}
	if err != nil {
		return 0, 0, err
	}
	return measureRate(ctx, g, &load{address: g.faktory, queue: "held"}, o.Seconds)
}
