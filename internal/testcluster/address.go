package testcluster

import (
	"fmt"
	"net"
	"os"
)

// addressRange is a range of loopback addresses, in which each member of a cluster has its own IP address. So neither
// another cluster nor an outgoing connection of this machine, which has the address 127.0.0.1, can take the port of a
// member while the member restarts.
type addressRange struct {
	firstNetwork int // second number of the first address
	members      int // largest number of members of a cluster
}

var (
	nodeAddresses = addressRange{firstNetwork: 64, members: maxNodes}  // 127.64.0.0 to 127.127.255.255
	hostAddresses = addressRange{firstNetwork: 128, members: maxHosts} // 127.128.0.0 to 127.191.255.255
)

const (
	networks          = 64 // of each address range
	subnetsPerNetwork = 255
	membersPerSubnet  = 250
)

// ip returns the IP address of a member of this process's cluster with the given number. The process ID and the number
// keep the addresses of clusters that run at the same time apart.
func (r addressRange) ip(cluster, index int) string {
	subnetsPerCluster := (r.members + membersPerSubnet - 1) / membersPerSubnet
	clustersPerNetwork := subnetsPerNetwork / subnetsPerCluster
	pid := os.Getpid()
	network := r.firstNetwork + pid%networks
	firstSubnet := subnetsPerCluster * ((pid/networks + cluster) % clustersPerNetwork)
	return fmt.Sprintf("127.%d.%d.%d", network, firstSubnet+index/membersPerSubnet, index%membersPerSubnet+1)
}

// freeAddress returns an IP address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
