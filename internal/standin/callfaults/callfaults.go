// Package callfaults injects system call errors into a child process without changing its
// program. The child installs a seccomp user-notification filter before it executes the program;
// its parent receives each intercepted call and either lets it continue or returns an error that
// the call's manual page allows. No special privileges are needed. Only tests and the soak use it.
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

// LaunchArgument is the first argument that makes a program that calls Launch execute the
// command in the remaining arguments.
const LaunchArgument = "launch-with-call-faults"

const (
	offerFile        = "call-faults-offer"  // written by the child: process id and number of the filter's descriptor
	accessFile       = "call-faults-access" // written by the parent once it has duplicated the descriptor
	filePollInterval = 2 * time.Millisecond
	fileTimeout      = 10 * time.Second
)

// System calls that Process.Fail can make fail. Wait depends on the architecture.
const (
	Accept  = unix.SYS_ACCEPT4
	Connect = unix.SYS_CONNECT
	Socket  = unix.SYS_SOCKET
	Send    = unix.SYS_SENDMSG
	Sync    = unix.SYS_FSYNC
)

var interceptedCalls = []uint32{Accept, Connect, Socket, Send, Wait, Sync}

// Seccomp constants that package unix does not define.
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

// Launch replaces this process by the command in args[1:] if args[0] is LaunchArgument, and
// returns otherwise. It installs the filter first and waits until Attach was called for the
// current directory. If that fails, it exits with status 70.
func Launch(args []string) {
	if len(args) < 2 || args[0] != LaunchArgument {
		return
	}
	runtime.LockOSThread() // the filter applies to the calling thread
	err := launch(args[1:])
	fmt.Fprintln(os.Stderr, "call faults:", err)
	os.Exit(70)
}

func launch(args []string) error {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("setting no_new_privs: %w", err)
	}
	code := filter()
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, setModeFilter, flagNewListener, uintptr(unsafe.Pointer(&program)))
	if errno != 0 {
		return fmt.Errorf("installing the seccomp filter: %w", errno)
	}
	if err := writeFileAtomically(offerFile, fmt.Sprintf("%d %d", os.Getpid(), fd)); err != nil {
		return err
	}
	if _, err := waitForFile(accessFile); err != nil {
		return err
	}
	return unix.Exec(args[0], args, os.Environ())
}

// filter returns the program that notifies the parent of interceptedCalls and allows all others.
func filter() []unix.SockFilter {
	const load, equals, result = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	code := []unix.SockFilter{{Code: load, K: offsetOfCall}}
	for i, call := range interceptedCalls {
		code = append(code, unix.SockFilter{Code: equals, Jt: uint8(len(interceptedCalls) - i), K: call})
	}
	return append(code, unix.SockFilter{Code: result, K: retAllow}, unix.SockFilter{Code: result, K: retNotify})
}

// writeFileAtomically writes to a temporary file and renames it, so that no reader sees a part.
func writeFileAtomically(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// waitForFile returns the file's text once it exists; it fails after fileTimeout.
func waitForFile(path string) (string, error) {
	for until := time.Now().Add(fileTimeout); ; time.Sleep(filePollInterval) {
		text, err := os.ReadFile(path)
		if err == nil {
			return string(text), nil
		}
		if time.Now().After(until) {
			return "", fmt.Errorf("file did not appear in time: %w", err)
		}
	}
}

// Process is a child process whose system calls can be made to fail. It is safe for concurrent use.
type Process struct {
	fd          int
	mu          sync.Mutex
	rules       map[uint32]rule
	failedCalls map[uint32]int // by system call
}

type rule struct {
	until  time.Time
	errors []unix.Errno
	next   int
}

// Attach connects to the process that Launch starts in dir: it duplicates the descriptor of the
// process's filter and answers its notifications until the process ends.
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
		return nil, fmt.Errorf("opening a descriptor of the process: %w", err)
	}
	defer func() { _ = unix.Close(pidfd) }() // only needed to duplicate the descriptor
	fd, err := unix.PidfdGetfd(pidfd, number, 0)
	if err != nil {
		return nil, fmt.Errorf("duplicating the descriptor of its filter: %w", err)
	}
	p := &Process{fd: fd, rules: map[uint32]rule{}, failedCalls: map[uint32]int{}}
	go p.serve()
	return p, writeFileAtomically(filepath.Join(dir, accessFile), "taken")
}

// Fail makes every use of the system call fail for the given time from now on, with the errors in
// rotation. It replaces an earlier rule for the same call; at least one error has to be given.
func (p *Process) Fail(call uint32, length time.Duration, errs ...unix.Errno) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rules[call] = rule{until: time.Now().Add(length), errors: errs}
}

// Failed returns how often Process has made the system call fail.
func (p *Process) Failed(call uint32) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedCalls[call]
}

// nextErrno returns the error for an intercepted call and counts it, or 0 to let the call continue.
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

// notification and response have the layout of the kernel's seccomp_notif and seccomp_notif_resp.
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

// serve answers the filter's notifications until the process has ended.
func (p *Process) serve() {
	defer func() { _ = unix.Close(p.fd) }() // the process has ended
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
			continue // the calling thread was interrupted in the meantime
		}
		r := response{id: n.id, flags: responseContinue}
		if errno := p.nextErrno(n.call); errno != 0 {
			r.flags, r.failed = 0, -int32(errno)
		}
		_, _, _ = unix.Syscall(unix.SYS_IOCTL, uintptr(p.fd), notifySend, uintptr(unsafe.Pointer(&r))) // the calling thread may have ended
	}
}
