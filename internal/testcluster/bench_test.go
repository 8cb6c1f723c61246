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

// BenchmarkRelay measures the rates of lines that a host echoes through a node and directly, in turns, over 16
// connections with 64 lines in flight each. The ratio is comparable between machines, the rates are not.
//
//	go test -run '^$' -bench Relay ./internal/testcluster
func BenchmarkRelay(b *testing.B) {
	program := filepath.Join(b.TempDir(), "onyxstream")
	if out, err := exec.Command("go", "build", "-o", program, "onyxstream/cmd/onyxstream").CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	config := Config{Nodes: 1, Hosts: 1, Host: HostConfig{Cores: 64}}
	classes := []ClassConfig{{Name: "chat", Deadline: 3 * time.Second}}
	tenants := []string{"acme"}
	if err := config.Check(classes, tenants); err != nil {
		b.Fatal(err)
	}
	cluster, err := Start(b.Context(), config, Options{Program: program, Classes: classes, Tenants: tenants})
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Close()
	const rounds = 5
	var rates [2][]float64
	for range rounds {
		for path, direct := range []bool{true, false} {
			addr, err := cluster.ClientAddress("", direct)
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

// echo sends lines over 16 connections and reads them back. It returns the rate in lines per second.
func echo(b *testing.B, addr string, lines int) float64 {
	const connections, linesInFlight = 16, 64
	line := strings.Repeat("x", 62) + "\r\n"
	done := make(chan error, connections)
	start := time.Now()
	for i := range connections {
		go func() {
			connection, err := net.Dial("tcp", addr)
			if err != nil {
				done <- err
				return
			}
			defer connection.Close()
			reader := bufio.NewReaderSize(connection, 8<<10)
			fmt.Fprintf(connection, "OPEN b%d-%d key%d c=chat,t=acme,d=3000\r\n", start.UnixNano(), i, i)
			if up, err := reader.ReadString('\n'); err != nil || !strings.HasPrefix(up, "UP ") {
				done <- fmt.Errorf("open connection: answer %q, error %v", up, err)
				return
			}
			block := []byte(strings.Repeat(line, linesInFlight))
			buffer := make([]byte, len(block))
			for sent := 0; sent < lines/connections; sent += linesInFlight {
				if _, err = connection.Write(block); err == nil {
					_, err = io.ReadFull(reader, buffer)
				}
				if err != nil {
					break
				}
			}
			done <- err
		}()
	}
	for range connections {
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	return float64(lines) / time.Since(start).Seconds()
}
