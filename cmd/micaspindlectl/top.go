package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"golang.org/x/term"

	"micaspindle/internal/client"
	"micaspindle/internal/overview"
)

type topCmd struct {
	Operations string        `env:"SPINDLE_OPERATIONS" placeholder:"HOST:PORT,..." help:"The controllers' addresses for operators (operations.listen of their settings)."`
	Every      time.Duration `default:"1s" help:"How often they are asked (200ms to 1m)."`
	Once       bool          `help:"Show it once and end, as where the output is no terminal."`
}

// Help shows examples.
func (topCmd) Help() string {
	return "Examples:\n\n    micaspindlectl top --operations 10.0.0.1:9090,10.0.0.2:9090\n    micaspindlectl top --once -o json | jq .\n\n" +
		"Keys: q ends it. Waits are of the last two to four minutes, the slowest of all controllers.\nWith identities it takes the right to view every queue.\n\n" +
		"Exit codes: 0 shown, 2 wrong arguments, 3 not allowed, 5 no controller answered."
}

// answerIn bounds one look at a controller: one that hangs must not stop the rest.
const answerIn = 900 * time.Millisecond

// Run shows how the cluster stands.
func (t *topCmd) Run(ctx context.Context, c *cli) error {
	if t.Every < 200*time.Millisecond || t.Every > time.Minute {
		return usageError{errors.New("--every must lie between 200ms and 1m")}
	}
	cl, addrs, err := operators(c, t.Operations)
	if err != nil {
		return err
	}
	look := func() ([]overview.Row, error) { return lookAt(ctx, cl, addrs) }
	rows, err := look()
	if c.Output == "json" || t.Once || err != nil || !term.IsTerminal(int(os.Stdout.Fd())) {
		if c.Output == "json" {
			return errors.Join(err, printRows(rows))
		}
		if err == nil {
			fmt.Println(overview.Screen(rows, time.Now(), 200, 1000))
		}
		return err
	}
	m := &screen{rows: rows, look: look, every: t.Every, width: 80, height: 24}
	_, err = tea.NewProgram(m, tea.WithContext(ctx), tea.WithAltScreen()).Run()
	if errors.Is(err, tea.ErrProgramKilled) && ctx.Err() != nil {
		return nil
	}
	return err
}

type sharesCmd struct {
	Operations string `env:"SPINDLE_OPERATIONS" placeholder:"HOST:PORT,..." help:"The controllers' addresses for operators (operations.listen of their settings)."`
}

// Help shows examples.
func (sharesCmd) Help() string {
	return "Examples:\n\n    micaspindlectl shares --operations 10.0.0.1:9090,10.0.0.2:9090\n    micaspindlectl shares -o json | jq '.[].view.moves'\n\n" +
		"MACHINES are those whose connections a controller has, ROOM as many as its sockets hold.\n" +
		"Shares move by themselves (docs/shares.md); nothing is to be done.\n" +
		"With identities it takes the right to view every queue.\n\n" +
		"Exit codes: 0 shown, 2 wrong arguments, 3 not allowed, 5 no controller answered."
}

// Run shows who carries what.
func (s *sharesCmd) Run(ctx context.Context, c *cli) error {
	cl, addrs, err := operators(c, s.Operations)
	if err != nil {
		return err
	}
	rows, err := lookAt(ctx, cl, addrs)
	if c.Output == "json" {
		return errors.Join(err, printRows(rows))
	}
	if err == nil {
		fmt.Print(overview.Shares(rows))
	}
	return err
}

// operators is a client of the controllers' addresses for operators.
func operators(c *cli, list string) (*client.Client, []string, error) {
	addrs := client.SplitAddresses(list)
	if len(addrs) == 0 {
		return nil, nil, usageError{errors.New("no addresses: give --operations or set SPINDLE_OPERATIONS")}
	}
	conn := c.Connection
	conn.Controllers = list
	cl, err := conn.client()
	return cl, addrs, err
}

func printRows(rows []overview.Row) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(rows)
}

// lookAt asks all controllers at the same time. It fails if none says anything.
func lookAt(ctx context.Context, cl *client.Client, addrs []string) ([]overview.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	rows, errs := make([]overview.Row, len(addrs)), make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			v := new(overview.View)
			rows[i].Addr = addr
			if errs[i] = cl.At(addr).Do(ctx, "GET", "/overview", nil, v); errs[i] != nil {
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

// screen is the terminal interface.
type screen struct {
	rows          []overview.Row
	err           error
	look          func() ([]overview.Row, error)
	every         time.Duration
	width, height int
}

type tick struct{}

type looked struct {
	rows []overview.Row
	err  error
}

func (s *screen) wait() tea.Cmd { return tea.Tick(s.every, func(time.Time) tea.Msg { return tick{} }) }

// Init starts the first wait.
func (s *screen) Init() tea.Cmd { return s.wait() }

// Update takes in keys, sizes and looks.
func (s *screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		if k := msg.String(); k == "q" || k == "ctrl+c" || k == "esc" {
			return s, tea.Quit
		}
	case tea.WindowSizeMsg:
		s.width, s.height = msg.Width, msg.Height
	case tick:
		return s, func() tea.Msg {
			rows, err := s.look()
			return looked{rows, err}
		}
	case looked:
		s.rows, s.err = msg.rows, msg.err
		return s, s.wait()
	}
	return s, nil
}

// View is the screen.
func (s *screen) View() string { return overview.Screen(s.rows, time.Now(), s.width, s.height) }
