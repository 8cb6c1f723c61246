package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// flood writes what next returns to a connection, as fast as possible, until stop is closed or a write fails. It reads
// and drops what comes back if read is set.
func flood(conn net.Conn, stop <-chan struct{}, read bool, next func(i int) string) {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-stop:
			_ = conn.SetDeadline(time.Now())
		case <-done:
		}
	}()
	if read {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	var chunk bytes.Buffer
	for i := 0; ; {
		chunk.Reset()
		for range 200 {
			chunk.WriteString(next(i))
			i++
		}
		if _, err := conn.Write(chunk.Bytes()); err != nil {
			return
		}
	}
}

// floodTarget is where a node listens.
type floodTarget struct{ addr, socket, managementAddr string }

// floodEstablished brings up a connection and floods it.
func floodEstablished(read bool, next func(i int) string) func(target floodTarget, stop <-chan struct{}) {
	return func(target floodTarget, stop <-chan struct{}) {
		hostileClient(target.addr, stop, func(conn net.Conn, stop <-chan struct{}) {
			_, _ = fmt.Fprintf(conn, "OPEN flood%d key%d c=chat,t=acme,d=2500\r\n", nextID(), nextID())
			answer := make([]byte, 64)
			if n, err := conn.Read(answer); err == nil && bytes.HasPrefix(answer[:n], []byte("UP")) {
				flood(conn, stop, read, next)
			}
		})
	}
}

// floodOpenings floods a client's connection before a host has brought it up.
func floodOpenings(next func(i int) string) func(target floodTarget, stop <-chan struct{}) {
	return func(target floodTarget, stop <-chan struct{}) {
		floodRepeatedly(stop, func() (net.Conn, error) { return net.Dial("tcp", target.addr) }, next)
	}
}

// floodControl floods the control listener with requests on one connection.
func floodControl(next func(i int) string) func(target floodTarget, stop <-chan struct{}) {
	return func(target floodTarget, stop <-chan struct{}) {
		floodRepeatedly(stop, func() (net.Conn, error) { return net.Dial("unix", target.socket) }, next)
	}
}

// floodRepeatedly floods a connection, and another one whenever it ends, until stop is closed.
func floodRepeatedly(stop <-chan struct{}, dial func() (net.Conn, error), next func(i int) string) {
	for !isClosed(stop) {
		conn, err := dial()
		if err != nil {
			continue
		}
		flood(conn, stop, true, next)
		_ = conn.Close()
	}
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// floodManagement makes management calls, each on a connection of its own as the protocol has it.
func floodManagement(target floodTarget, stop <-chan struct{}) {
	for i := 0; !isClosed(stop); i++ {
		conn, err := net.Dial("tcp", target.managementAddr)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = fmt.Fprintf(conn, "disable-server x%d\r\n", i)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: n0\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: n0\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

var floods = []struct {
	name string
	run  func(target floodTarget, stop <-chan struct{})
}{
	{"small messages", floodEstablished(true, func(i int) string { return fmt.Sprintf("M %d\r\n", i) })},
	{"small messages, answers unread", floodEstablished(false, func(i int) string { return fmt.Sprintf("M %d\r\n", i) })},
	{"empty messages", floodEstablished(true, func(int) string { return "\n" })},
	{"echoed load reports", floodEstablished(true, func(i int) string { return fmt.Sprintf("LOAD %d\r\n", i%9) })},
	{"health checks", floodOpenings(func(int) string { return "PING\r\n" })},
	{"unsound openings", floodOpenings(func(i int) string { return fmt.Sprintf("OPEN u%d\r\n", i) })},
	{"unknown classes", floodOpenings(func(i int) string { return fmt.Sprintf("OPEN u%d k%d c=x%d,t=y%d\r\n", i, i, i, i) })},
	{"new ids", floodOpenings(func(i int) string { return fmt.Sprintf("OPEN u%d k%d c=chat,t=acme,d=2500,g=%d\r\n", i, i, i) })},
	{"control: status", floodControl(func(int) string { return get("/v1/status") })},
	{"control: unknown paths", floodControl(func(i int) string { return get(fmt.Sprint("/v1/x", i)) })},
	{"control: unsound commands", floodControl(func(i int) string { return post("/v1/command", fmt.Sprintf(`{"x%d":1}`, i)) })},
	{"control: new operations", floodControl(func(i int) string {
		return post("/v1/command", fmt.Sprintf(`{"id":"c%d","operation":"o%d","fence":%d,"kind":"drain-host","host":"h%d"}`, i, i, i+1, i))
	})},
	{"control: lists", floodControl(func(i int) string {
		return get(fmt.Sprintf("/v1/list?service=s%d&after=0&age_ms=0&within_ms=0", i))
	})},
	{"control: streams", floodControl(func(int) string { return get("/v1/watch") })},
	{"management calls", floodManagement},
}

// One client that sends small or unsound requests at full speed, also under ever new names, must not keep the node from
// answering others in time or take ever more memory, also during a hot restart.
func TestFloodingClient_HotRestart_OthersAnswered(t *testing.T) {
	program, err := buildWithoutRaceDetector()
	if err != nil {
		t.Fatal(err)
	}
	limits := nodeLimits{32, 256}
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			hosts := []*fakeHost{newFakeHost(t, "h1"), newFakeHost(t, "h2")}
			options, discovery := inheritedSocketOptions(t, hosts...)
			options.mode = "pass"
			options.memoryMB, options.socketLimit, options.programPath = limits.memoryMB, limits.descriptors, program
			node, target := startControlledNode(t, options, discovery.addr)
			eventually(t, "the list is confirmed", func() bool { return node.serves(t) })
			var sampler memorySampler
			sampler.add(node)
			stopSampler := make(chan struct{})
			var sampling sync.WaitGroup
			sampling.Go(func() { sampler.run(stopSampler) })
			stop := make(chan struct{})
			var running sync.WaitGroup
			regular := &regularClients{answers: map[string]int{}}
			for range 4 {
				running.Go(func() { regular.run(target.addr, stop) })
			}
			running.Go(func() { f.run(target, stop) })
			time.Sleep(time.Second)
			successor := startSuccessor(t, options, discovery.addr)
			sampler.add(successor)
			time.Sleep(500 * time.Millisecond)
			node.terminate(t)
			node.waitForCleanExit(t)
			close(stop)
			running.Wait()
			close(stopSampler)
			sampling.Wait()
			sampler.checkMemory(t, limits.memoryMB)
			t.Logf("regular requests: %v, slowest %v", regular.answers, regular.slowest)
			if regular.slowest > regularTimeout {
				t.Errorf("slowest answer after %v, want at most %v", regular.slowest, regularTimeout)
			}
			for _, lost := range regular.lost {
				t.Errorf("no answer: %s", lost)
			}
		})
	}
}

// startControlledNode starts a node with a control listener.
func startControlledNode(t *testing.T, options nodeOptions, discoveryAddr string) (*nodeProcess, floodTarget) {
	t.Helper()
	target := floodTarget{addr: options.addr, socket: t.TempDir() + "/c", managementAddr: options.managementAddr}
	config := fmt.Sprintf("[control]\nsocket = %q\n[coldstart]\nservice = \"s\"\n", target.socket)
	path := writeConfig(t, options.addr, discoveryAddr, options)
	node := startProcessWith(t, path, options, "--config", writeFile(t, "node.toml", config))
	node.addr, node.managementAddr = options.addr, options.managementAddr
	node.waitForPingAnswer(t, "PONG\r\n")
	return node, target
}
