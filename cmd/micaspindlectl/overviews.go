package main

import (
	"context"
	"errors"
	"sync"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/overview"
)

// operationsClient returns a client of the controllers' operations addresses, and the addresses.
func operationsClient(c *cli, list string) (*client.Client, []string, error) {
	addrs := client.SplitAddresses(list)
	if len(addrs) == 0 {
		return nil, nil, usageError{errors.New("no addresses: give --operations or set SPINDLE_OPERATIONS")}
	}
	conn := c.Connection
	conn.Controllers = list
	cl, err := conn.client()
	return cl, addrs, err
}

// overviewTimeout is the timeout of the concurrent requests to all controllers. It bounds the delay
// that a hanging controller causes.
const overviewTimeout = 900 * time.Millisecond

// fetchOverviews requests the overviews of all controllers concurrently. It fails only if no
// controller answers.
func fetchOverviews(ctx context.Context, cl *client.Client, addrs []string) ([]overview.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, overviewTimeout)
	defer cancel()
	rows, errs := make([]overview.Row, len(addrs)), make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			v := new(overview.View)
			rows[i].Addr = addr
			if errs[i] = cl.ForController(addr).Do(ctx, "GET", "/overview", nil, v); errs[i] != nil {
				rows[i].Err = errs[i].Error()
				return
			}
			rows[i].View = v
		})
	}
	wg.Wait()
	for _, r := range rows {
		if r.View != nil {
			return rows, nil
		}
	}
	return rows, errors.Join(errs...)
}
