// A job that came in over HTTP/2 is looked up on new connections before, during and after an upgrade.
package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"review/stand"
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(root, folder string) int {
	rec, err := stand.NewRecord(folder)
	if err != nil {
		return stand.NotRun
	}
	tmp, _ := os.MkdirTemp("", "review-")
	defer os.RemoveAll(tmp)
	addresses, _ := stand.FreeAddresses(6)
	listen, h2, disc := addresses[0], addresses[1], addresses[2]
	config := filepath.Join(tmp, "own.json")
	os.WriteFile(config, fmt.Appendf(nil, `{"http2":{"listen":%q}}`, h2), 0o600)
	w := &stand.Worker{Name: "s-0000000", Address: addresses[5], CallAddress: listen}
	w.Serve = func(a *stand.Attempt) {
		a.Accept()
		go func() {
			w.Tell(a, "started", "")
			time.Sleep(1500 * time.Millisecond)
			a.End("done")
			w.Tell(a, "done", "result")
		}()
	}
	stand.StartWorker(rec, w)
	entries := []stand.Endpoint{{Name: w.Name, Address: addresses[5], Zone: "suva", Type: "gen2", Group: 1, Status: "up", Weight: 1}}
	d, _ := stand.StartDiscovery(disc, entries)
	defer d.Close()
	start := func(label, admin string) (*stand.Scheduler, error) {
		return stand.StartScheduler(rec, stand.Options{Root: root, Folder: tmp, Name: "n0", Label: label, Listen: listen, Discovery: disc, Admin: admin,
			TmpDir: filepath.Join(tmp, "tmp"), Settings: stand.Settings(nil), Extra: " --config " + config,
			Known: map[string]any{"index": 1, "snapshot": true, "endpoints": entries}})
	}
	old, err := start("old", addresses[3])
	defer old.Kill()
	if err != nil {
		return rec.Abort(err)
	}
	c, _ := stand.DialH2(h2, 1<<20, 4<<20)
	id := fmt.Sprintf("%016x", rand.Uint64())
	c.Request([]byte("work"), ":method", "POST", ":scheme", "http", ":path", "/settle/t1", ":authority", "api", "x-correlation-id", id, "x-service-class", "settle", "x-time-left-ms", "20000")
	time.Sleep(300 * time.Millisecond)
	c.Write(append([]byte{0, 0, 4, 3, 0, 0, 0, 0, 1}, binary.BigEndian.AppendUint32(nil, 8)...))
	time.Sleep(50 * time.Millisecond)
	look := func() string {
		c, err := stand.DialH2(h2, 1<<20, 4<<20)
		if err != nil {
			return err.Error()
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(time.Second))
		c.Request(nil, ":method", "GET", ":scheme", "http", ":path", "/jobs/"+id, ":authority", "api")
		for {
			f, err := c.ReadFrame()
			if err != nil {
				return err.Error()
			}
			if f.Kind == stand.H2Data {
				return string(f.Payload)
			}
		}
	}
	fmt.Println("before:", look())
	next, err := start("new", addresses[4])
	defer next.Kill()
	if err != nil {
		return rec.Abort(err)
	}
	count := map[string]int{}
	for range 20 {
		count[look()]++
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Println("both serve:", count)
	time.Sleep(1500 * time.Millisecond)
	count = map[string]int{}
	for range 20 {
		count[look()]++
	}
	fmt.Println("both serve, job done:", count)
	old.Signal(syscall.SIGTERM)
	<-old.Exited()
	count = map[string]int{}
	for range 5 {
		count[look()]++
	}
	fmt.Println("after the upgrade:", count)
	return 0
}
