package testcluster

import (
	"net"
	"testing"
)

// While a host is down, another program of this machine may take the host's port for a connection or a listener of
// 127.0.0.1. The host must be able to restart nevertheless.
func TestHostRestart_PortTakenOnLoopback_Restarted(t *testing.T) {
	config := Config{Hosts: 2}
	options := Options{Classes: []ClassConfig{{Name: "chat"}}, Tenants: []string{"acme"}}
	if err := config.Check(options.Classes, options.Tenants); err != nil {
		t.Fatal(err)
	}
	cluster, err := Prepare(config, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	for _, host := range cluster.Hosts() {
		_, port, err := net.SplitHostPort(host.Addr())
		if err != nil {
			t.Fatal(err)
		}
		host.Crash()
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		if err := host.Restart(); err != nil {
			t.Errorf("restart: %v", err)
		}
	}
}
