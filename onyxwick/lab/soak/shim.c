/* Injects faults into the system calls of one process; loaded by LD_PRELOAD, controlled by a mapped file.
 *
 * The file named by ONYXWICK_SHIM_CONTROL holds a struct control, which the soak writes and this library
 * reads at each call. No call fails while all fields are 0. Calls on files fail only in the folder named by
 * ONYXWICK_SHIM_FOLDER. `counts` holds how often each fault was met.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT, SOCKET, CONNECT, TRANSFER, DISK, WAIT, BROKEN, FAULTS };

struct control {
    int64_t clock_offset_ns;
    int64_t accept_errno;
    int64_t socket_errno;
    int64_t connect_errno;
    int64_t disk_errno;      /* -1: half of a write is done, then the process is killed */
    int64_t transfer_bytes;  /* most bytes that one receive or send moves; 0: no limit */
    int64_t interrupted;     /* percentage of waits and transfers that are interrupted */
    int64_t broken_errno;    /* error of one in BROKEN_IN transfers on connections that this process opened */
    int64_t counts[FAULTS];
};

#define MOST_FILES 4096
#define BROKEN_IN 8
static volatile struct control *control;
static const char *folder;
static unsigned char in_folder[MOST_FILES];
static unsigned char opened_here[MOST_FILES];
static __thread unsigned int seed;

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("ONYXWICK_SHIM_CONTROL");
    folder = getenv("ONYXWICK_SHIM_FOLDER");
    if (!path) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* so that a lab that ends leaves no process behind */
    int fd = open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *at = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (at != MAP_FAILED) control = at;
}

static int fails(int which, int64_t number)
{
    if (!number) return 0;
    control->counts[which]++;
    errno = (int)number;
    return 1;
}

static int interrupted(int which)
{
    if (!control || !control->interrupted) return 0;
    if (!seed) seed = (unsigned int)getpid();
    return rand_r(&seed) % 100 < control->interrupted && fails(which, EINTR);
}

static int breaks(int fd)
{
    if (!control || !control->broken_errno || fd < 0 || fd >= MOST_FILES || !opened_here[fd]) return 0;
    if (!seed) seed = (unsigned int)getpid();
    return rand_r(&seed) % BROKEN_IN == 0 && fails(BROKEN, control->broken_errno);
}

/* ---- clocks ---- */

int clock_gettime(clockid_t id, struct timespec *at)
{
    REAL(clock_gettime);
    int done = real(id, at);
    if (!done && control && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)at->tv_sec * 1000000000 + at->tv_nsec + control->clock_offset_ns;
        at->tv_sec = ns / 1000000000;
        at->tv_nsec = ns % 1000000000;
    }
    return done;
}

int gettimeofday(struct timeval *at, void *zone)
{
    struct timespec now;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &now);
    at->tv_sec = now.tv_sec;
    at->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *at)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (at) *at = now.tv_sec;
    return now.tv_sec;
}

/* ---- sockets ---- */

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(accept4);
    if (control && fails(ACCEPT, control->accept_errno)) return -1;
    return real(fd, address, size, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    return accept4(fd, address, size, 0);
}

int socket(int domain, int type, int protocol)
{
    REAL(socket);
    if (control && domain == AF_INET && fails(SOCKET, control->socket_errno)) return -1;
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    REAL(connect);
    if (control && fails(CONNECT, control->connect_errno)) return -1;
    if (fd >= 0 && fd < MOST_FILES) opened_here[fd] = address->sa_family == AF_INET;
    return real(fd, address, size);
}

static size_t bounded(size_t size)
{
    size_t most = control ? (size_t)control->transfer_bytes : 0;
    if (!most || size <= most) return size;
    control->counts[TRANSFER]++;
    return most;
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    REAL(recv);
    if (interrupted(TRANSFER) || breaks(fd)) return -1;
    return real(fd, data, bounded(size), flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    REAL(send);
    if (interrupted(TRANSFER) || breaks(fd)) return -1;
    return real(fd, data, bounded(size), flags);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait);
    if (timeout && interrupted(WAIT)) return -1;
    return real(fd, events, most, timeout, mask);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    return epoll_pwait(fd, events, most, timeout, NULL);
}

/* ---- files in the folder ---- */

static int within(const char *path)
{
    return folder && path && !strncmp(path, folder, strlen(folder));
}

static int opened(int fd, const char *path)
{
    if (fd >= 0 && fd < MOST_FILES) in_folder[fd] = (unsigned char)within(path);
    return fd;
}

static int disk_fails(void)
{
    return control && control->disk_errno > 0 && fails(DISK, control->disk_errno);
}

#define OPEN(name) \
    int name(const char *path, int flags, ...) \
    { \
        REAL(name); \
        va_list more; \
        va_start(more, flags); \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, mode_t) : 0; \
        va_end(more); \
        int writes = (flags & O_ACCMODE) != O_RDONLY; \
        int full = control && control->disk_errno == ENOSPC; \
        if (within(path) && (writes || !full) && disk_fails()) return -1; \
        return opened(real(path, flags, mode), path); \
    }
OPEN(open)
OPEN(open64)

int close(int fd)
{
    REAL(close);
    if (fd >= 0 && fd < MOST_FILES) in_folder[fd] = opened_here[fd] = 0;
    return real(fd);
}

ssize_t write(int fd, const void *data, size_t size)
{
    REAL(write);
    if (control && fd >= 0 && fd < MOST_FILES && in_folder[fd]) {
        if (disk_fails()) return -1;
        if (control->disk_errno < 0 && size > 1) {
            control->counts[DISK]++;
            real(fd, data, size / 2);
            raise(SIGKILL);
        }
    }
    return real(fd, data, size);
}

int fsync(int fd)
{
    REAL(fsync);
    if (fd >= 0 && fd < MOST_FILES && in_folder[fd] && disk_fails()) return -1;
    return real(fd);
}

int rename(const char *from, const char *to)
{
    REAL(rename);
    if (within(to) && disk_fails()) return -1;
    return real(from, to);
}
