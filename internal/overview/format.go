package overview

import (
	"fmt"
	"time"
)

// truncate shortens a text to at most width characters.
func truncate(text string, width int) string {
	if runes := []rune(text); len(runes) > width {
		return string(runes[:width])
	}
	return text
}

// runeCount returns the number of characters of a text.
func runeCount(text string) int { return len([]rune(text)) }

// formatDuration formats a duration in seconds as a short text, such as 1m05s or 3d.
func formatDuration(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	switch {
	case d < time.Minute:
		return fmt.Sprintf("%ds", int(d.Seconds()))
	case d < time.Hour:
		return fmt.Sprintf("%dm%02ds", int(d.Minutes()), int(d.Seconds())%60)
	case d < 48*time.Hour:
		return fmt.Sprintf("%dh%02dm", int(d.Hours()), int(d.Minutes())%60)
	}
	return fmt.Sprintf("%dd", int(d.Hours()/24))
}

// formatShortDuration is like formatDuration, but shows fractions of a second below ten seconds.
func formatShortDuration(seconds float64) string {
	if seconds < 10 {
		return fmt.Sprintf("%.3gs", seconds)
	}
	return formatDuration(seconds)
}

// wrapItems formats a heading and items as lines, with a new line before an item that would exceed
// the width.
func wrapItems(heading string, items []string, width int) (lines []string) {
	line := heading
	for _, item := range items {
		if runeCount(line+item) > width && line != "" {
			lines, line = append(lines, line), ""
		}
		line += item
	}
	return append(lines, line)
}
