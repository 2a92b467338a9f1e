// Case 1: a settle that its client pushes twice during an upgrade runs twice.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"review/stand"
)

const (
	jobs    = 20 // settles, each pushed twice
	workers = 3  // processes that fetch, one connection each
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

// bench counts the runs of each job.
type bench struct {
	rec  *stand.Record
	mu   sync.Mutex
	runs map[string]int
	stop chan struct{}
}

func run(root, folder string) int {
	rec, err := stand.NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return stand.NotRun
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return rec.Abort(err)
	}
	defer os.RemoveAll(tmp)
	addresses, err := stand.FreeAddresses(5)
	if err != nil {
		return rec.Abort(err)
	}
	listen, faktory, disc := addresses[0], addresses[1], addresses[2]
	config := filepath.Join(tmp, "own.json")
	if err := os.WriteFile(config, fmt.Appendf(nil, `{"faktory":{"listen":%q,"queue":"default"}}`, faktory), 0o600); err != nil {
		return rec.Abort(err)
	}
	d, err := stand.StartDiscovery(disc, nil)
	if err != nil {
		return rec.Abort(err)
	}
	defer d.Close()
	// Both processes get the same addresses, save the operators' own, and the same $TMPDIR.
	start := func(label, admin string) (*stand.Scheduler, error) {
		return stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: label, Listen: listen, Discovery: disc,
			Admin: admin, TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil), Extra: " --config " + config})
	}
	old, err := start("old", addresses[3])
	defer old.Kill()
	if err != nil {
		return rec.Abort(err)
	}

	b := &bench{rec: rec, runs: map[string]int{}, stop: make(chan struct{})}
	var fetching sync.WaitGroup
	for i := range workers {
		fetching.Go(func() { b.work(faktory, fmt.Sprintf("worker-%d", i)) })
	}
	time.Sleep(11 * time.Second) // the workers are warm from then on: 8.9 s and 1 s after they came, by the settings

	pushing := make(chan error, 1)
	go func() { pushing <- b.pushAll(faktory) }()
	if stand.Trouble() {
		time.Sleep(500 * time.Millisecond)
		next, err := start("new", addresses[4])
		defer next.Kill()
		if err != nil {
			return rec.Abort(err)
		}
		time.Sleep(2 * time.Second)
		rec.Add("platform: SIGTERM to the old process")
		old.Signal(syscall.SIGTERM)
		select {
		case <-old.Exited():
		case <-time.After(3700 * time.Millisecond):
			rec.Add("platform: SIGKILL to the old process")
			old.Signal(syscall.SIGKILL)
		}
	}
	if err := <-pushing; err != nil {
		return rec.Abort(err)
	}
	time.Sleep(12 * time.Second) // for what is still queued: a worker that has just come is taken for cold
	close(b.stop)
	fetching.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	return rec.Finish(fmt.Sprintf("%d settles ran of %d pushed", len(b.runs), jobs))
}

// pushAll pushes each job twice, on connections of their own.
func (b *bench) pushAll(address string) error {
	for range jobs {
		jid := fmt.Sprintf("%016x", rand.Uint64())
		for push := 1; push <= 2; push++ {
			reply, err := b.push(address, jid)
			b.rec.Add("client: push %d of settle %s: %q, %v", push, jid, reply, err)
			if err != nil && push == 1 {
				return err
			}
			time.Sleep(75 * time.Millisecond)
		}
	}
	return nil
}

func (b *bench) push(address, jid string) (string, error) {
	c, err := stand.DialFaktory(address, "")
	if err != nil {
		return "", err
	}
	defer c.Close()
	return c.Do(fmt.Sprintf(`PUSH {"jid":%q,"jobtype":"settle","queue":"settlements","args":["match"],"custom":{"time_left_ms":20000}}`, jid))
}

// work fetches and runs jobs until the end; a connection that ends is opened anew.
func (b *bench) work(address, wid string) {
	for {
		if c, err := stand.DialFaktory(address, wid); err == nil {
			for err == nil && !b.isOver() {
				err = b.fetch(c, wid)
			}
			c.Close()
			b.rec.Add("%s: connection ended, %v", wid, err)
		}
		if b.isOver() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (b *bench) isOver() bool {
	select {
	case <-b.stop:
		return true
	default:
		return false
	}
}

// fetch asks for one job, runs it and reports it.
func (b *bench) fetch(c *stand.FaktoryConn, wid string) error {
	text, err := c.Do("FETCH settlements")
	if err != nil || text == "" {
		return err
	}
	if text[0] == '-' {
		return fmt.Errorf("FETCH: %s", text)
	}
	var job struct {
		JID string `json:"jid"`
	}
	if err := json.Unmarshal([]byte(text), &job); err != nil {
		return err
	}
	b.mu.Lock()
	b.runs[job.JID]++
	n := b.runs[job.JID]
	b.mu.Unlock()
	b.rec.Add("%s: runs settle %s", wid, job.JID)
	if n > 1 {
		b.rec.Break("settle %s runs %d times", job.JID, n)
	}
	time.Sleep(100 * time.Millisecond)
	reply, err := c.Do(fmt.Sprintf(`ACK {"jid":%q}`, job.JID))
	b.rec.Add("%s: ACK of settle %s: %q, %v", wid, job.JID, reply, err)
	return err
}
