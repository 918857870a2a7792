package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

const (
	portRangeFile      = "/proc/sys/net/ipv4/ip_local_port_range"
	firstFixedPort     = 10000 // above the well-known services
	lastPort           = 65535
	fixedPortAttempts  = 100
	minFixedPortsRange = 1000
)

// fixedPorts are the ports that listenFixed has tried in this process.
var fixedPorts = struct {
	sync.Mutex
	used map[int]bool
}{used: map[int]bool{}}

// SystemPorts returns the first and last port of the range from which the system takes a port for a
// socket that asks for any, and for outgoing connections.
func SystemPorts() (first, last int, err error) {
	text, err := os.ReadFile(portRangeFile)
	if err != nil {
		return 0, 0, fmt.Errorf("stand-in: %w", err)
	}
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, 0, fmt.Errorf("stand-in: %s: %w", portRangeFile, err)
	}
	return first, last, nil
}

// FixedAddress returns a loopback address for listeners that are closed and opened again at the same
// place. Its port is free for TCP and UDP and outside SystemPorts, so that nothing else on the
// machine is given it in between.
func FixedAddress() (string, error) {
	stream, datagrams, err := listenFixed()
	if err != nil {
		return "", err
	}
	_, _ = stream.Close(), datagrams.Close() // nothing was sent
	return stream.Addr().String(), nil
}

// listenFixed listens for TCP and UDP at such an address.
func listenFixed() (net.Listener, *net.UDPConn, error) {
	first, last, err := SystemPorts()
	if err != nil {
		return nil, nil, err
	}
	low, count := firstFixedPort, first-firstFixedPort
	if above := lastPort - last; above > count {
		low, count = last+1, above
	}
	if count < minFixedPortsRange {
		return nil, nil, fmt.Errorf("stand-in: only %d ports are outside %s", count, portRangeFile)
	}
	for range fixedPortAttempts {
		port := low + rand.IntN(count)
		if !takeFixedPort(port) {
			continue
		}
		stream, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		if err != nil {
			_ = stream.Close() // nothing was sent
			continue
		}
		return stream, datagrams, nil
	}
	return nil, nil, errors.New("stand-in: no free port was found")
}

// takeFixedPort reports whether the port has not been used in this process, and marks it as used.
func takeFixedPort(port int) bool {
	fixedPorts.Lock()
	defer fixedPorts.Unlock()
	if fixedPorts.used[port] {
		return false
	}
	fixedPorts.used[port] = true
	return true
}
