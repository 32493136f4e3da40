package devcluster

import (
	"net"
	"strconv"
	"testing"
)

// An address is reserved for its process: it is neither given twice nor free for another
// cluster until the process starts.
func TestAddressIsReservedUntilProcessStarts(t *testing.T) {
	c, other := &Cluster{addresses: map[string]int{}}, &Cluster{addresses: map[string]int{}}
	seen := map[string]bool{}
	for range 1500 { // each of the two draws some twice
		for _, each := range []*Cluster{c, other} {
			addr, err := each.reserveAddr()
			if err != nil || seen[addr] {
				t.Fatalf("%s, drawn before: %v; %v", addr, seen[addr], err)
			}
			seen[addr] = true
			if each == c {
				defer c.releaseAddr(addr)
			} else {
				defer other.releaseAddr(addr)
			}
		}
	}
	addr, err := c.reserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp4", addr); err == nil {
		_ = conn.Close()
		t.Error("an address that is only held answers")
	}
	if l, err := net.Listen("tcp4", addr); err == nil {
		_ = l.Close()
		t.Error("an address that is held is given to another")
	}
	c.releaseAddr(addr)
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatalf("the process of an address that was let go: %v", err)
	}
	_, port, _ := net.SplitHostPort(addr)
	if n, _ := strconv.Atoi(port); n < 10_000 || n >= 30_000 {
		t.Errorf("port %s", port)
	}
	_ = l.Close()
}
