// Upgrades one after another: the old process is held up in turns from its SIGTERM on (argument 3, in ms; 0: not), and table
// workers are taken out at either process meanwhile. Argument 4: seconds.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/stand"
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Args[3], os.Args[4])) }

func run(root, folder, holdMS, seconds string) int {
	rec, err := stand.NewRecord(folder)
	if err != nil {
		return stand.NotRun
	}
	ms, _ := strconv.Atoi(holdMS)
	secs, _ := strconv.Atoi(seconds)
	hold := time.Duration(ms) * time.Millisecond
	tmp, _ := os.MkdirTemp("", "review-")
	defer os.RemoveAll(tmp)
	const nW = 6
	addresses, _ := stand.FreeAddresses(2 + nW + 40)
	listen, disc := addresses[0], addresses[1]
	admins := addresses[2+nW:]
	var entries []stand.Endpoint
	var bans sync.Map // worker to time of the yes; 0: none
	for i, address := range addresses[2 : 2+nW] {
		w := &stand.Worker{Name: fmt.Sprintf("s-%07d", i), Address: address, CallAddress: listen}
		w.Serve = func(a *stand.Attempt) {
			if t, ok := bans.Load(w.Name); ok && !t.(time.Time).IsZero() && time.Since(t.(time.Time)) > 1050*time.Millisecond {
				rec.Break("%s reaches %s %.2f s after the operator's yes", a.ID, w.Name, time.Since(t.(time.Time)).Seconds())
			}
			a.Accept()
			go func() {
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
				a.End("done")
				w.Tell(a, "done", "x")
			}()
		}
		if err := stand.StartWorker(rec, w); err != nil {
			return rec.Abort(err)
		}
		entries = append(entries, stand.Endpoint{Name: w.Name, Address: address, Zone: "suva", Type: "gen2", Group: 1, Status: "up", Weight: 1})
	}
	d, _ := stand.StartDiscovery(disc, entries)
	defer d.Close()
	start := func(n int) (*stand.Scheduler, error) {
		return stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: fmt.Sprintf("p%d", n), Listen: listen, Discovery: disc, Admin: admins[n],
			TmpDir: filepath.Join(tmp, "t"), Settings: stand.Settings(nil),
			Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	}
	old, err := start(0)
	if err != nil {
		old.Kill()
		return rec.Abort(err)
	}
	var sent, bad, refusedConn, n503, n500 atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 32 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%016x", rand.Uint64())
				delay := time.Duration(0)
				if c%3 == 0 {
					delay = time.Duration(rand.IntN(6000)) * time.Microsecond
				}
				sent.Add(1)
				a := stand.PostAfter(rec, listen, "move", fmt.Sprintf("t%d", rand.IntN(50)), id, 5*time.Second, delay)
				switch {
				case a.Err != nil && strings.Contains(a.Err.Error(), "dial"):
					refusedConn.Add(1)
				case a.Err != nil:
					bad.Add(1)
					rec.Break("%s got no answer: %v", id, a.Err)
				case a.Status == 503:
					n503.Add(1)
				case a.Status == 500:
					n500.Add(1)
				}
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	call := func(admin, path string) bool {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := client.Post("http://"+admin+path, "", nil)
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == 200
	}
	end := time.Now().Add(time.Duration(secs) * time.Second)
	killed := 0
	n := 1
	for ; time.Now().Before(end) && n < len(admins); n++ {
		next, err := start(n)
		if err != nil {
			next.Kill()
			old.Kill()
			return rec.Abort(err)
		}
		// a ban at either process about the SIGTERM
		worker := fmt.Sprintf("s-%07d", rand.IntN(nW))
		banAt := admins[n-1+rand.IntN(2)]
		banned := make(chan struct{})
		go func() {
			defer close(banned)
			time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			if call(banAt, "/-/table-workers/"+worker+"/disable") {
				bans.Store(worker, time.Now())
				rec.Add("operator: %s out, yes of %s", worker, banAt)
			}
		}()
		time.Sleep(200 * time.Millisecond)
		rec.Add("platform: SIGTERM to p%d", n-1)
		old.Signal(syscall.SIGTERM)
		term := time.Now()
	ending:
		for {
			if time.Since(term) > 3700*time.Millisecond {
				rec.Add("platform: SIGKILL to p%d", n-1)
				killed++
				old.Signal(syscall.SIGKILL)
				<-old.Exited()
				break
			}
			if hold > 0 {
				old.Signal(syscall.SIGSTOP)
				time.Sleep(hold)
				old.Signal(syscall.SIGCONT)
			}
			select {
			case <-old.Exited():
				break ending
			case <-time.After(max(hold/3, 10*time.Millisecond)):
			}
		}
		<-banned
		old.Kill()
		old = next
		time.Sleep(1500 * time.Millisecond)
		if t, ok := bans.Load(worker); ok && !t.(time.Time).IsZero() {
			bans.Store(worker, time.Time{})
			call(admins[n], "/-/table-workers/"+worker+"/enable")
		}
	}
	close(stop)
	wg.Wait()
	old.Kill()
	return rec.Finish(fmt.Sprintf("hold %v: %d upgrades, %d killed, %d sent, %d without an answer, %d not connected, %d 503, %d 500", hold, n-1, killed, sent.Load(), bad.Load(), refusedConn.Load(), n503.Load(), n500.Load()))
}
