package callfaults

import "golang.org/x/sys/unix"

// Wait is the system call that netpoll waits by.
const Wait = unix.SYS_EPOLL_WAIT
