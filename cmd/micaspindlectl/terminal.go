package main

import (
	"context"
	"errors"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"micaspindle/internal/overview"
)

// The size of the terminal until it tells its own.
const (
	defaultWidth  = 80
	defaultHeight = 24
)

// runTerminal shows rows, and fetches new ones at each interval, until the user quits or ctx ends.
func runTerminal(ctx context.Context, rows []overview.Row, fetch func() ([]overview.Row, error), every time.Duration) error {
	s := &screen{rows: rows, fetch: fetch, every: every, width: defaultWidth, height: defaultHeight}
	_, err := tea.NewProgram(s, tea.WithContext(ctx), tea.WithAltScreen()).Run()
	if errors.Is(err, tea.ErrProgramKilled) && ctx.Err() != nil {
		return nil
	}
	return err
}

// screen is the model of the terminal interface.
type screen struct {
	rows          []overview.Row
	err           error
	fetch         func() ([]overview.Row, error)
	every         time.Duration
	width, height int
}

// tick says that the refresh interval has passed.
type tick struct{}

// fetched carries the answers of one refresh.
type fetched struct {
	rows []overview.Row
	err  error
}

// wait sends a tick after the refresh interval.
func (s *screen) wait() tea.Cmd { return tea.Tick(s.every, func(time.Time) tea.Msg { return tick{} }) }

// Init starts the first wait.
func (s *screen) Init() tea.Cmd { return s.wait() }

// Update handles keys, window sizes, ticks and answers.
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
			rows, err := s.fetch()
			return fetched{rows, err}
		}
	case fetched:
		s.rows, s.err = msg.rows, msg.err
		return s, s.wait()
	}
	return s, nil
}

// View draws the screen.
func (s *screen) View() string { return overview.Screen(s.rows, time.Now(), s.width, s.height) }
