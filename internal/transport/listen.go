package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// Pauses after an accept that failed, as one does for want of descriptors; doubled up to the longer.
const (
	minAcceptRetryInterval = 5 * time.Millisecond
	maxAcceptRetryInterval = 100 * time.Millisecond
)

// Listener is a listening socket, made by Net.Listen.
type Listener struct {
	addr   net.Addr
	socket *os.File
}

// Listen accepts connections at the address. Accept is called for each connection, on the
// listener's goroutine, and returns the connection's handler.
//
// Netpoll's own event loop would accept one connection in each round of the poller. While clients
// send at full speed a round takes long, and new clients would wait for as many rounds as there are
// others before them. So a goroutine accepts all that wait, and netpoll is given what it accepted.
func (n *Net) Listen(addr string, accept func(*Conn) Handler) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) { // accepted sockets inherit it
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientReceiveBufferBytes)
		}); e != nil {
			return e
		}
		return err
	}}
	ln, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listening at %s: no TCP listener", addr)
	}
	// The net package gives raw access to the socket only as a file, which holds a duplicate of it.
	socket, err := tcp.File()
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	if err := tcp.Close(); err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	go n.acceptLoop(raw, accept)
	return &Listener{addr: tcp.Addr(), socket: socket}, nil
}

// Addr returns the address listened at.
func (l *Listener) Addr() net.Addr { return l.addr }

// Close stops accepting; accepted connections stay open.
func (l *Listener) Close() error {
	if err := l.socket.Close(); err != nil {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// acceptLoop accepts connections until the listener is closed. An accept that fails says nothing
// of the next one: it is tried again after a pause.
func (n *Net) acceptLoop(raw syscall.RawConn, accept func(*Conn) Handler) {
	for pause := minAcceptRetryInterval; ; pause = min(2*pause, maxAcceptRetryInterval) {
		var failed error
		err := raw.Read(func(listenFD uintptr) (done bool) {
			for {
				fd, _, err := unix.Accept4(int(listenFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
				switch {
				case err == nil:
					pause = minAcceptRetryInterval
					n.accepted(fd, accept)
					runtime.Gosched() // those that were accepted before have their turn
				case errors.Is(err, unix.EAGAIN):
					return false // wait for the next connection
				case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
				default:
					failed = err
					return true
				}
			}
		})
		if err != nil {
			return // the listener is closed
		}
		_, _ = fmt.Fprintf(netpollLog{}, "accept failed: %v", failed) // the log drops lines rather than fail
		time.Sleep(pause)
	}
}

// accepted takes over an accepted socket, or closes it to keep to the limit on connections; the
// client tries elsewhere then.
func (n *Net) accepted(fd int, accept func(*Conn) Handler) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1) // the connection works without it, slower
	local, remote := socketAddr(unix.Getsockname(fd)), socketAddr(unix.Getpeername(fd))
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		return // the poller can't watch it; netpoll has closed it and logged why
	}
	c := n.newConn(nc, false)
	c.local, c.remote = local, remote
	n.open.Add(1)
	if !n.admit(c) {
		n.open.Add(-1)
		_ = nc.Close() // nothing can be done about an error
		return
	}
	c.h = accept(c)
	c.attach()
}

// socketAddr converts the address of a socket; nil if there is none.
func socketAddr(sa unix.Sockaddr, err error) net.Addr {
	if err != nil {
		return nil
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return nil
}
