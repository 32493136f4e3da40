// Command 7 is the test of case 7 of the review: a clerk reassigns a job at a controller that has not seen
// yet that another job waits for it. That other job, which nobody cancelled, is withdrawn.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/devcluster"
	"micaspindle/internal/protocol"
	"micaspindle/internal/settings"
	"micaspindle/review/rig2"
)

const (
	clerk = "person/anna"
	user  = "service/placements"
	team  = "placements-desk"
	// first runs all the time, second waits for it, third waits for second.
	first, second, third, successor = "job-000398", "job-000405", "job-000412", "job-000999"
	// delay is the time that the state service takes for the answer to a watch, between is the time from
	// the acceptance of the third job to the clerk's request.
	delay   = 300 * time.Millisecond
	between = 100 * time.Millisecond
	watched = 20 * time.Second
)

// policy gives the user rights on one team's queue and the clerk the right to reassign between two.
const policy = `
roles:
  - name: administrator
    rules: [{allow: [submit, view, view-arguments, withdraw, reassign, administer], team: "*", class: "*"}]
  - name: placements
    rules: [{allow: [submit, view, withdraw], team: placements-desk, class: "*"}]
  - name: clerk
    rules:
      - {allow: [view, reassign], team: placements-desk, class: "*"}
      - {allow: [view, reassign], team: venues, class: "*"}
identities:
  - {name: person/root, roles: [administrator]}
  - {name: service/placements, roles: [placements]}
  - {name: person/anna, roles: [clerk]}
`

func main() { rig2.Main(play) }

func play(ctx context.Context, c *rig2.Case) error {
	cluster, err := c.Prepare(devcluster.Options{}, true, user)
	if err != nil {
		return err
	}
	accepting, reassigning := cluster.Nodes()[0], cluster.Nodes()[2]
	slow, err := slowDown(ctx, c, cluster, reassigning)
	if err != nil {
		return err
	}
	if err := c.Ready(policy); err != nil {
		return err
	}
	users, err := cluster.Client(user)
	if err != nil {
		return err
	}
	users = users.ForController(accepting.Addr)
	for _, job := range []*protocol.Submission{rig2.Job(first, "placement-match", team, 1, 300), rig2.Job(second, "letter-render", team, 1, 10, first)} {
		status, err := users.Submit(ctx, job)
		c.Note("%s submits %s, which waits for %d jobs: %+v %v", user, *job.ID, len(job.Dependencies), status, err)
		if err != nil {
			return err
		}
	}
	if err := rig2.Sleep(ctx, 5*time.Second); err != nil {
		return err
	}
	if c.Trouble {
		c.Note("the state service takes %s for its answers to watches of %s", delay, reassigning.Label)
		slow <- delay
	}
	if err := rig2.Sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	status, err := users.Submit(ctx, rig2.Job(third, "sms-notify", team, 1, 10, second))
	c.Note("%s submits %s, which waits for %s, at %s: %+v %v", user, third, second, accepting.Label, status, err)
	if err != nil {
		return err
	}
	if err := rig2.Sleep(ctx, between); err != nil {
		return err
	}
	anna, err := cluster.Client(clerk)
	if err != nil {
		return err
	}
	err = anna.ForController(reassigning.Addr).Do(ctx, http.MethodPost, "/submissions/"+second+"/reassign", protocol.Reassignment{As: successor, Team: "venues"}, &status)
	c.Note("%s asks %s to reassign %s as %s: %+v %v", clerk, reassigning.Label, second, successor, status, err)
	var refusal *client.Refusal
	if err != nil && (!errors.As(err, &refusal) || refusal.Status != http.StatusUnprocessableEntity) {
		return err
	}
	if c.Trouble {
		slow <- 0
	}
	for begun := time.Now(); time.Since(begun) < watched; {
		if err := rig2.Sleep(ctx, time.Second); err != nil {
			return err
		}
		if status, err = users.Status(ctx, third); err != nil {
			c.Note("%s polls %s: %v", user, third, err)
			continue
		}
		if status.Status == "withdrawn" {
			c.Note("%s polls %s: %+v", user, third, status)
			c.Broken("went_back: nobody cancelled %s, and it is called %q", third, status.Status)
			return nil
		}
	}
	c.Note("%s polls %s: %+v", user, third, status)
	return nil
}

// slowDown puts a proxy between a controller and the state service, which delays the answers to watches
// by what is sent to the channel, and starts the controller again with it.
func slowDown(ctx context.Context, c *rig2.Case, cluster *devcluster.Cluster, node *devcluster.Node) (chan<- time.Duration, error) {
	file := filepath.Join(c.Dir, node.Label+".json")
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var config settings.Settings
	if err := json.Unmarshal(data, &config); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	delays := make(chan time.Duration)
	serveSlowly(ctx, listener, config.Services.State, delays)
	config.Services.State = listener.Addr().String()
	if data, err = json.Marshal(config); err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	cluster.KillNode(node)
	return delays, cluster.StartNode(node)
}

// serveSlowly forwards requests to the state service.
func serveSlowly(ctx context.Context, listener net.Listener, state string, delays <-chan time.Duration) {
	present := make(chan time.Duration, 1)
	present <- 0
	go func() {
		for delay := range delays {
			<-present
			present <- delay
		}
	}()
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+state+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.ContentLength = r.ContentLength
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close() //nolint:errcheck // read below
		body, err := io.ReadAll(response.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/changes" {
			delay := <-present
			present <- delay
			time.Sleep(delay)
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(body)
	})}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
}
