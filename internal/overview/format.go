package overview

import (
	"fmt"
	"time"
)

// clip bounds a text in characters.
func clip(text string, width int) string {
	if runes := []rune(text); len(runes) > width {
		return string(runes[:width])
	}
	return text
}

// length is that of a text in characters.
func length(text string) int { return len([]rune(text)) }

// formatSpan is a duration in seconds as a few characters.
func formatSpan(seconds float64) string {
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

// formatShortSpan is formatSpan with fractions of a second where they matter.
func formatShortSpan(seconds float64) string {
	if seconds < 10 {
		return fmt.Sprintf("%.3gs", seconds)
	}
	return formatSpan(seconds)
}

// listInLines puts items behind a heading, on as few lines as the width allows.
func listInLines(heading string, items []string, width int) (lines []string) {
	line := heading
	for _, item := range items {
		if length(line+item) > width && line != "" {
			lines, line = append(lines, line), ""
		}
		line += item
	}
	return append(lines, line)
}
