package standin

import (
	"net"
	"net/netip"
	"testing"
)

// TestFixedAddressesAreOutsideTheSystemsRange guards against a mixer that is killed finding its
// address taken when it starts again: the system had given the port to another socket meanwhile.
func TestFixedAddressesAreOutsideTheSystemsRange(t *testing.T) {
	first, last, err := SystemPorts()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for range 50 {
		address, err := FixedAddress()
		if err != nil {
			t.Fatal(err)
		}
		if port := int(netip.MustParseAddrPort(address).Port()); port >= first && port <= last || seen[address] {
			t.Errorf("%s was given before (%v), or is among %d to %d", address, seen[address], first, last)
		}
		seen[address] = true
		for range 2 {
			ln, err := net.Listen("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			_ = ln.Close() // nothing was sent
		}
	}
}
