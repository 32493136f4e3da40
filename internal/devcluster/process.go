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

// Ports of the cluster's processes. They lie below the ephemeral range, so that no outgoing
// connection takes the port of a process that is down.
const (
	minPort      = 10_000
	maxPort      = 30_000
	portAttempts = 200
)

// reservation holds the sockets that reserve an address for a process of this cluster.
type reservation struct {
	// socket is bound to the address until its process starts, then closedSocket.
	socket int
	// portLock is bound to an abstract Unix socket name for the port until the cluster stops, so
	// that no other cluster reserves the port once socket is closed.
	portLock int
}

// closedSocket replaces the descriptor of a socket that has been closed.
const closedSocket = -1

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
		if errors.Is(err, errCreateSocket) {
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

// errCreateSocket reports that no socket could be created, whatever the address.
var errCreateSocket = errors.New("devcluster: reserve an address")

// bindSocket creates a socket and binds it to an address.
func bindSocket(family int, addr syscall.Sockaddr) (int, error) {
	socket, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return closedSocket, fmt.Errorf("%w: %w", errCreateSocket, err)
	}
	if err := syscall.Bind(socket, addr); err != nil {
		_ = syscall.Close(socket)
		return closedSocket, err
	}
	return socket, nil
}

// releaseAddr closes the socket that reserves an address, so that its process can listen on it.
func (c *Cluster) releaseAddr(addr string) {
	if r, reserved := c.addresses[addr]; reserved && r.socket != closedSocket {
		_ = syscall.Close(r.socket)
		c.addresses[addr] = reservation{closedSocket, r.portLock}
	}
}

// releaseAddrs releases all addresses of the cluster, whose processes must have exited.
func (c *Cluster) releaseAddrs() {
	for addr, r := range c.addresses {
		c.releaseAddr(addr)
		_ = syscall.Close(r.portLock)
	}
	clear(c.addresses)
}

// startProcess starts a process of the cluster that logs to a file. The returned channel is
// closed when the process has exited. The system kills it if this process dies.
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

// lastLine returns the last line of a log, which usually has the reason for the process's exit.
func lastLine(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// FindBinary returns the path of a program of the project and checks that it exists. An empty path
// selects the program with that name in the directory of this program.
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
		err = errors.New("is a directory")
	}
	if err != nil {
		return "", fmt.Errorf("program %s not found at %s (build it with make build): %w", name, path, err)
	}
	return path, nil
}
