package devcluster

import (
	"net"
	"strconv"
	"testing"
)

// Guards against a controller that found its address taken while it started: one
// that a draw had hit twice, or that another laboratory had drawn meanwhile.
func TestAnAddressIsHeldUntilItsProcessStarts(t *testing.T) {
	c, other := &Cluster{given: map[string]int{}}, &Cluster{given: map[string]int{}}
	seen := map[string]bool{}
	for range 1500 { // each of the two draws some twice
		for _, each := range []*Cluster{c, other} {
			addr, err := each.freeAddr()
			if err != nil || seen[addr] {
				t.Fatalf("%s, drawn before: %v; %v", addr, seen[addr], err)
			}
			seen[addr] = true
			if each == c {
				defer c.release(addr)
			} else {
				defer other.release(addr)
			}
		}
	}
	addr, err := c.freeAddr()
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
	c.release(addr)
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
