package devcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Ports of the cluster's processes. They lie below the ephemeral ports: otherwise a
// connection could get the port of a process that is down.
const (
	minPort      = 10_000
	maxPort      = 30_000
	portAttempts = 200
)

// reservation is what keeps an address for a process of this cluster.
type reservation struct {
	// socket is bound to the address until its process starts; notHeld afterwards.
	socket int
	// claim is bound to a name that stands for the port until the cluster stops, so that no
	// other cluster draws the port between the release of the socket and the start.
	claim int
}

// notHeld is a closed socket of a reservation.
const notHeld = -1

// reserveAddr finds a free loopback address and reserves it until its process starts. The
// address is bound but not listened on, so that connections are refused as if the process
// were down.
func (c *Cluster) reserveAddr() (string, error) {
	for range portAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		addr := "127.0.0.1:" + strconv.Itoa(port)
		if _, used := c.addresses[addr]; used {
			continue
		}
		claim, err := bindSocket(syscall.AF_UNIX, &syscall.SockaddrUnix{Name: "@micaspindle-devcluster/" + strconv.Itoa(port)})
		if errors.Is(err, errNoSocket) {
			return "", err
		}
		if err != nil {
			continue
		}
		socket, err := bindSocket(syscall.AF_INET, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
		if err != nil {
			_ = syscall.Close(claim)
			continue
		}
		c.addresses[addr] = reservation{socket, claim}
		return addr, nil
	}
	return "", fmt.Errorf("devcluster: no free port between %d and %d", minPort, maxPort)
}

// errNoSocket says that the system gives no socket, for any address.
var errNoSocket = errors.New("devcluster: reserve an address")

// bindSocket returns a socket that is bound to an address.
func bindSocket(family int, addr syscall.Sockaddr) (int, error) {
	socket, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return notHeld, fmt.Errorf("%w: %w", errNoSocket, err)
	}
	if err := syscall.Bind(socket, addr); err != nil {
		_ = syscall.Close(socket)
		return notHeld, err
	}
	return socket, nil
}

// releaseAddr releases an address for its process.
func (c *Cluster) releaseAddr(addr string) {
	if r, reserved := c.addresses[addr]; reserved && r.socket != notHeld {
		_ = syscall.Close(r.socket)
		c.addresses[addr] = reservation{notHeld, r.claim}
	}
}

// releaseAddrs gives up all addresses; the cluster's processes have ended.
func (c *Cluster) releaseAddrs() {
	for addr, r := range c.addresses {
		c.releaseAddr(addr)
		_ = syscall.Close(r.claim)
	}
	clear(c.addresses)
}

// startProcess starts a process of the cluster that logs to a file. The returned channel is
// closed when it has ended. The process dies with this one.
func (c *Cluster) startProcess(label, logFile string, cmd *exec.Cmd) (<-chan struct{}, error) {
	file, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("devcluster: %w", err)
	}
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.options.LogLevel)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("devcluster: start %s: %w", label, err)
	}
	exited := make(chan struct{})
	c.group.Go(func() {
		_ = cmd.Wait()
		_ = file.Close()
		close(exited)
	})
	return exited, nil
}

// lastLine returns the last line of a log, which says why its process ended.
func lastLine(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// FindBinary returns the path of a program of the project: the given one or, if it is
// empty, that of the name in the directory of this program.
func FindBinary(path, name string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("devcluster: %w", err)
		}
		path = filepath.Join(filepath.Dir(self), name)
	}
	info, err := os.Stat(path)
	if err == nil && info.IsDir() {
		err = errors.New("a directory")
	}
	if err != nil {
		return "", fmt.Errorf("no program %s at %s (make build makes it): %w", name, path, err)
	}
	return path, nil
}
