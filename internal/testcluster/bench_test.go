package testcluster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkRelay measures lines there and back through one node and directly at the same host, in turns, with 16
// connections that each keep 64 lines on the way: the ratio counts, the figures are the machine's.
//
//	go test -run '^$' -bench Relay ./internal/testcluster
func BenchmarkRelay(b *testing.B) {
	program := filepath.Join(b.TempDir(), "onyxstream")
	if out, err := exec.Command("go", "build", "-o", program, "onyxstream/cmd/onyxstream").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	f := Config{Nodes: 1, Hosts: 1, Host: HostConfig{Cores: 64}}
	classes, tenants := []ClassConfig{{Name: "chat", Deadline: 3 * time.Second}}, []string{"acme"}
	if err := f.Check(classes, tenants); err != nil {
		b.Fatal(err)
	}
	r, err := Start(b.Context(), f, Options{Program: program, Classes: classes, Tenants: tenants})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	const rounds = 5
	var rates [2][]float64
	for range rounds {
		for path, direct := range []bool{true, false} {
			addr, err := r.ClientAddress("", direct)
			if err != nil {
				b.Fatal(err)
			}
			rates[path] = append(rates[path], echo(b, addr, max(b.N/rounds/2, 1000)))
		}
	}
	for i := range rates {
		slices.Sort(rates[i])
	}
	direct, node := rates[0][rounds/2], rates[1][rounds/2]
	b.ReportMetric(direct, "direct-lines/s")
	b.ReportMetric(node, "node-lines/s")
	b.ReportMetric(node/direct, "ratio")
}

// echo sends n lines over 16 connections and reads them back; it returns lines a second.
func echo(b *testing.B, addr string, n int) float64 {
	const conns, onTheWay = 16, 64
	line := strings.Repeat("x", 62) + "\r\n"
	done := make(chan error, conns)
	begin := time.Now()
	for i := range conns {
		go func() {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				done <- err
				return
			}
			defer c.Close()
			in := bufio.NewReaderSize(c, 8<<10)
			fmt.Fprintf(c, "OPEN b%d-%d key%d c=chat,t=acme,d=3000\r\n", begin.UnixNano(), i, i)
			if up, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(up, "UP ") {
				done <- fmt.Errorf("answered %q, error %v", up, err)
				return
			}
			block := []byte(strings.Repeat(line, onTheWay))
			buf := make([]byte, len(block))
			for sent := 0; sent < n/conns; sent += onTheWay {
				if _, err = c.Write(block); err == nil {
					_, err = io.ReadFull(in, buf)
				}
				if err != nil {
					break
				}
			}
			done <- err
		}()
	}
	for range conns {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	return float64(n) / time.Since(begin).Seconds()
}
