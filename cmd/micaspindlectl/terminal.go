package main

import (
	"context"
	"errors"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"micaspindle/internal/overview"
)

// The size that is assumed until the terminal reports its own.
const (
	defaultWidth  = 80
	defaultHeight = 24
)

// runTerminal shows rows and refreshes them at the interval, until the user quits or ctx ends.
func runTerminal(ctx context.Context, rows []overview.Row, fetch func() ([]overview.Row, error), interval time.Duration) error {
	s := &screen{rows: rows, fetch: fetch, interval: interval, width: defaultWidth, height: defaultHeight}
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
	interval      time.Duration
	width, height int
}

// tick is the message that the refresh interval has passed.
type tick struct{}

// fetched is the message with the result of one refresh.
type fetched struct {
	rows []overview.Row
	err  error
}

// scheduleRefresh returns a command that sends a tick after the refresh interval.
func (s *screen) scheduleRefresh() tea.Cmd {
	return tea.Tick(s.interval, func(time.Time) tea.Msg { return tick{} })
}

// Init schedules the first refresh.
func (s *screen) Init() tea.Cmd { return s.scheduleRefresh() }

// Update handles keys, changes of the window size, ticks and results of refreshes.
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
		return s, s.scheduleRefresh()
	}
	return s, nil
}

// View draws the screen.
func (s *screen) View() string { return overview.Screen(s.rows, time.Now(), s.width, s.height) }
