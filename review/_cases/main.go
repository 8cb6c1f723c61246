package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// world is what a case plays with.
type world struct {
	*platform
	record    *record
	hosts     []*host
	discovery *discovery
	trouble   bool // false: the case is played without its disruption

	clients sync.WaitGroup
	mu      sync.Mutex
	done    []*client
}

// cases holds the cases by name; each file of a case adds its own. A case returns the breaks of its rule.
var cases = map[string]func(*world) (broken []string, err error){}

// timeLimit ends a case that hangs.
const timeLimit = 115 * time.Second

func main() {
	status, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
	}
	os.Exit(status)
}

// run plays the case that the first argument names; the second is the folder for record.txt.
func run() (status int, err error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return 2, errors.New("usage: cases NAME FOLDER")
	}
	root, err := os.Getwd()
	if err != nil {
		return 2, err
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		return 2, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	p, err := newPlatform(root, folder, rec)
	if err != nil {
		return 2, err
	}
	defer p.close()
	w := &world{platform: p, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](w)
		results <- result{broken, err}
	}()
	select {
	case <-stop:
		return 2, errors.New("stopped by a signal")
	case <-time.After(timeLimit):
		return 2, errors.New("time limit")
	case got := <-results:
		if got.err != nil {
			return 2, got.err
		}
		rec.add("verdict", "%d breaks", len(got.broken))
		for _, line := range got.broken {
			rec.add("broken", "%s", line)
			fmt.Println(line)
		}
		if len(got.broken) > 0 {
			return 1, nil
		}
		return 0, nil
	}
}

// addHosts starts hosts s1, s2 and so on, and discovery with all of them.
func (w *world) addHosts(count int) (err error) {
	for i := range count {
		h, err := newHost(fmt.Sprintf("s%d", i+1), w.record)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
	}
	w.discovery, err = newDiscovery(w.record, w.hosts)
	return err
}

// addNodes starts nodes n1, n2 and so on, each with the settings and the list of hosts as discovery has it now.
func (w *world) addNodes(count int, settings func() object) error {
	known, _, _ := w.discovery.list(0, true)
	var wg sync.WaitGroup
	errs := make([]error, count)
	for i := range count {
		set := settings()
		set["index"], set["groupSize"] = i, count
		n, err := w.add(fmt.Sprintf("n%d", i+1), w.discovery.addr, known, set)
		if err != nil {
			return err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = n.start()
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// open starts a client of a node.
func (w *world) open(n *node, fields string, life, interval time.Duration) *client {
	c := &client{id: newID(), node: n}
	w.clients.Add(1)
	go func() {
		defer w.clients.Done()
		c.run(w.record, fields, life, interval)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.done = append(w.done, c)
	}()
	return c
}

// settings returns the settings of a small deployment, with one class that is safe to repeat.
func settings(mode, registry string, deadline, drainGrace float64) object {
	return object{
		"clients":   object{"marksRetry": false},
		"customers": []object{{"name": "acme", "quotaPerS": 100.0, "share": 1.0}},
		"domain": object{"groups": false, "messageAim": []float64{250}, "mode": mode, "park": 0.0,
			"tellsDelay": false, "tellsLoad": false, "tenantQuotaConnections": []float64{400}},
		"family": "conn",
		"zone":   0, "zones": []string{"a"}, "kinds": []string{"m2"},
		"lanes": []object{{"aim": deadline / 2, "deadline": deadline, "group": "all", "lateWorth": 0.0, "name": "chat",
			"semantics": "safe", "streaming": true, "window": 5000.0, "worth": 1.0}},
		"limits": object{"cancel": true, "connIdle": 5000.0, "connectTimeout": 200.0, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 400000, "maxAttempts": 3, "maxRetryAfter": 2000.0, "mayTell": false, "mostHeld": 1000000,
			"multiplex": 1, "probes": false, "retryAfter": true, "secondCopies": false},
		"overShareWorth": 0.1,
		"prices":         object{"crossZone": 0.0},
		"registryMode":   registry,
		"report":         object{"fields": []string{}, "how": "off"},
		"rules": object{"answerSlack": 16.0, "askWithin": 10000.0, "coldShare": 0.3, "fallMultiple": 4.0,
			"overloadFor": 1000.0, "stopSendingWithin": drainGrace, "warmWithin": 8600.0},
		"tick": 4.0, "tier": 0, "tiers": []string{"live"}, "weightSource": "nominal", "worthBy": "request",
	}
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
