package callfaults

import "golang.org/x/sys/unix"

// Wait is the system call that netpoll waits by: this architecture has no epoll_wait.
const Wait = unix.SYS_EPOLL_PWAIT
