package scenario

import (
	"embed"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

//go:embed days/*.yaml meetings/*.yaml
var files embed.FS

// OverloadScenarios returns the project's overload and failure scenarios, sorted by name.
func OverloadScenarios() ([]Scenario, error) { return loadFolder("days") }

// CoincidingFaultScenarios returns the scenarios in which two faults coincide, sorted by name.
func CoincidingFaultScenarios() ([]Scenario, error) { return loadFolder("meetings") }

// loadFolder reads the scenarios of an embedded folder.
func loadFolder(folder string) ([]Scenario, error) {
	names, err := fs.Glob(files, folder+"/*.yaml")
	if err != nil {
		return nil, err
	}
	var scenarios []Scenario
	for _, name := range names {
		data, err := files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		scenario, err := Parse(data)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path.Base(name), err)
		}
		scenarios = append(scenarios, scenario)
	}
	slices.SortFunc(scenarios, func(a, b Scenario) int { return strings.Compare(a.Name, b.Name) })
	return scenarios, nil
}
