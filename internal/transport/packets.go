package transport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// maxWaitingPackets is how many datagrams may wait for the owner's goroutine.
const maxWaitingPackets = 512

// PacketConn sends and receives UDP datagrams at one address. Received datagrams are posted to the
// owner. Those that it can't keep up with are dropped and counted.
type PacketConn struct {
	conn    *net.UDPConn
	raw     func(func(fd uintptr) bool) error
	post    Poster
	waiting atomic.Int64
	dropped atomic.Int64
}

// ListenPackets listens at an IP address and port. Each datagram is passed to handle on the owner's
// goroutine; one of more than maxBytes bytes is dropped. Netpoll serves streams only, so a goroutine
// of its own reads until the socket is closed.
func ListenPackets(post Poster, addr string, maxBytes int, handle func(from netip.AddrPort, b []byte)) (*PacketConn, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close() // the first error counts
		return nil, fmt.Errorf("listening: %w", err)
	}
	p := &PacketConn{conn: conn, raw: raw.Write, post: post}
	go p.read(maxBytes, handle)
	return p, nil
}

func (p *PacketConn) read(maxBytes int, handle func(netip.AddrPort, []byte)) {
	buf := make([]byte, maxBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // concerns one datagram; a socket ends only by Close
		}
		// Bounds memory and the work of the owner under a flood.
		if n > maxBytes || p.waiting.Load() >= maxWaitingPackets {
			p.dropped.Add(1)
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		p.waiting.Add(1)
		p.post.Post(func() {
			p.waiting.Add(-1)
			handle(from, b)
		})
	}
}

// Send sends a datagram to an IPv4 address and never blocks. What the kernel does not accept is
// lost, as any datagram may be.
func (p *PacketConn) Send(to netip.AddrPort, b []byte) {
	addr := &unix.SockaddrInet4{Port: int(to.Port()), Addr: to.Addr().Unmap().As4()}
	_ = p.raw(func(fd uintptr) bool { // fails only once the socket is closed
		_ = unix.Sendto(int(fd), b, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, addr)
		return true
	})
}

// Dropped returns how many datagrams have been dropped so far, as too large or too many.
func (p *PacketConn) Dropped() int64 { return p.dropped.Load() }

// Addr returns the address listened at.
func (p *PacketConn) Addr() net.Addr { return p.conn.LocalAddr() }

// Close closes the socket.
func (p *PacketConn) Close() { _ = p.conn.Close() } // the error has no consequence
