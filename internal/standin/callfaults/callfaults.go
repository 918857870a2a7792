// Package callfaults has system calls of a process fail, as their manual pages say they may,
// without a change to its program: a seccomp filter that the process gives itself hands chosen
// calls to whoever started it, which lets them go on or answers for the system. It needs no
// special rights. Tests and the soak use it; the mixer does not.
package callfaults

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// LaunchArgument is the first argument by which a program that calls Launch is told to start
// another one.
const LaunchArgument = "launch-with-call-faults"

const (
	offerFile        = "call-faults-offer"  // process id and descriptor, by the one that starts
	accessFile       = "call-faults-access" // says that the descriptor was taken
	filePollInterval = 2 * time.Millisecond
	fileTimeout      = 10 * time.Second
)

// Calls that may fail.
const (
	Accept  = unix.SYS_ACCEPT4
	Connect = unix.SYS_CONNECT
	Socket  = unix.SYS_SOCKET
	Send    = unix.SYS_SENDMSG
	Wait    = unix.SYS_EPOLL_WAIT
	Sync    = unix.SYS_FSYNC
)

var interceptedCalls = []uint32{Accept, Connect, Socket, Send, Wait, Sync}

// Seccomp's numbers, which the unix package lacks.
const (
	setModeFilter    = 1
	flagNewListener  = 1 << 3
	retAllow         = 0x7fff0000
	retNotify        = 0x7fc00000
	notifyReceive    = 0xc0502100
	notifySend       = 0xc0182101
	responseContinue = 1
	offsetOfCall     = 0
)

// Launch starts the program that the arguments name, in place of this one, where the first is
// LaunchArgument; else it returns. The folder is the present one.
func Launch(args []string) {
	if len(args) < 2 || args[0] != LaunchArgument {
		return
	}
	runtime.LockOSThread() // the filter is this thread's
	err := launch(args[1:])
	fmt.Fprintln(os.Stderr, "call faults:", err)
	os.Exit(70)
}

func launch(args []string) error {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	code := filter()
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, setModeFilter, flagNewListener, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("setting the filter: %w", errno)
	}
	if err := writeFileAtomically(offerFile, fmt.Sprintf("%d %d", os.Getpid(), fd)); err != nil {
		return err
	}
	if _, err := waitForFile(accessFile); err != nil {
		return err
	}
	return unix.Exec(args[0], args, os.Environ())
}

// filter hands the intercepted calls on and allows all others.
func filter() []unix.SockFilter {
	const load, equals, result = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	code := []unix.SockFilter{{Code: load, K: offsetOfCall}}
	for i, call := range interceptedCalls {
		code = append(code, unix.SockFilter{Code: equals, Jt: uint8(len(interceptedCalls) - i), K: call})
	}
	return append(code, unix.SockFilter{Code: result, K: retAllow}, unix.SockFilter{Code: result, K: retNotify})
}

// writeFileAtomically has a file appear with all of its text.
func writeFileAtomically(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// waitForFile waits for a file.
func waitForFile(path string) (string, error) {
	for until := time.Now().Add(fileTimeout); ; time.Sleep(filePollInterval) {
		text, err := os.ReadFile(path)
		if err == nil {
			return string(text), nil
		}
		if time.Now().After(until) {
			return "", fmt.Errorf("waited in vain: %w", err)
		}
	}
}

// Process is a process whose calls may fail.
type Process struct {
	fd          int
	mu          sync.Mutex
	rules       map[uint32]rule
	failedCalls map[uint32]int // of calls that failed
}

type rule struct {
	until  time.Time
	errors []unix.Errno
	next   int
}

// Attach takes hold of the process that is started in the folder by Launch.
func Attach(dir string) (*Process, error) {
	offer, err := waitForFile(filepath.Join(dir, offerFile))
	if err != nil {
		return nil, err
	}
	pidText, fdText, _ := strings.Cut(offer, " ")
	pid, err1 := strconv.Atoi(pidText)
	number, err2 := strconv.Atoi(fdText)
	if err := errors.Join(err1, err2); err != nil {
		return nil, err
	}
	pidfd, err := unix.PidfdOpen(pid, 0)
	if err != nil {
		return nil, fmt.Errorf("finding the process: %w", err)
	}
	defer func() { _ = unix.Close(pidfd) }() // it was only needed here
	fd, err := unix.PidfdGetfd(pidfd, number, 0)
	if err != nil {
		return nil, fmt.Errorf("taking its filter: %w", err)
	}
	p := &Process{fd: fd, rules: map[uint32]rule{}, failedCalls: map[uint32]int{}}
	go p.serve()
	return p, writeFileAtomically(filepath.Join(dir, accessFile), "taken")
}

// Fail has all calls of a kind fail from now on for a while, with each of the errors in turn.
func (p *Process) Fail(call uint32, length time.Duration, errs ...unix.Errno) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules[call] = rule{until: time.Now().Add(length), errors: errs}
}

// Failed is how many calls of a kind have failed.
func (p *Process) Failed(call uint32) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedCalls[call]
}

// nextErrno says what becomes of a call: 0 lets it go on.
func (p *Process) nextErrno(call uint32) unix.Errno {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.rules[call]
	if !ok || time.Now().After(r.until) {
		return 0
	}
	errno := r.errors[r.next%len(r.errors)]
	r.next++
	p.rules[call] = r
	p.failedCalls[call]++
	return errno
}

// notification and response are the system's own structures.
type notification struct {
	id           uint64
	pid, flags   uint32
	call         uint32
	architecture uint32
	instruction  uint64
	args         [6]uint64
}

type response struct {
	id     uint64
	value  int64
	failed int32
	flags  uint32
}

// serve answers for the system until the process has ended.
func (p *Process) serve() {
	defer func() { _ = unix.Close(p.fd) }() // the process is gone
	for {
		poll := []unix.PollFd{{Fd: int32(p.fd), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, -1); err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		if poll[0].Revents&unix.POLLIN == 0 {
			if poll[0].Revents != 0 {
				return
			}
			continue
		}
		var n notification
		if _, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(p.fd), notifyReceive, uintptr(unsafe.Pointer(&n))); errno != 0 {
			continue // the caller was interrupted meanwhile
		}
		r := response{id: n.id, flags: responseContinue}
		if errno := p.nextErrno(n.call); errno != 0 {
			r.flags, r.failed = 0, -int32(errno)
		}
		_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(p.fd), notifySend, uintptr(unsafe.Pointer(&r))) // it may be gone
	}
}
