package scenario

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Site is the contents of a site file, which describes a deployment. Unknown fields are preserved.
type Site struct {
	all      map[string]any
	teams    []map[string]any
	jobs     []map[string]any
	capacity []map[string]any
}

// ParseSite parses a site file.
func ParseSite(data []byte) (*Site, error) {
	s := &Site{all: map[string]any{}}
	if err := toml.Unmarshal(data, &s.all); err != nil {
		return nil, err
	}
	for _, section := range []struct {
		name string
		into *[]map[string]any
	}{{"teams", &s.teams}, {"jobs", &s.jobs}, {"capacity", &s.capacity}} {
		list, ok := s.all[section.name].([]map[string]any)
		if !ok || len(list) == 0 {
			return nil, fmt.Errorf("the site file has no section [[%s]]", section.name)
		}
		*section.into = list
	}
	if _, ok := s.all["nodes"].(map[string]any); !ok {
		return nil, errors.New("the site file has no section [nodes]")
	}
	return s, nil
}

// Name returns the name of the deployment.
func (s *Site) Name() string { return text(s.all["name"]) }

// WireFile returns the name of the wire protocol's file in the folder of the site file, or "".
func (s *Site) WireFile() string { return text(s.all["wire"]) }

// nodes returns the section about the controllers, which ParseSite requires.
func (s *Site) nodes() map[string]any { return s.all["nodes"].(map[string]any) }

// Controllers returns the number of controllers.
func (s *Site) Controllers() int { return int(number(s.nodes()["count"])) }

// socketLimit returns the maximum number of connections of a controller, or 0 if the site sets no
// limit.
func (s *Site) socketLimit() float64 { return number(s.nodes()["max_connections"]) }

// Machines returns the number of machines that the cloud provides, including spot machines.
func (s *Site) Machines() int {
	total := 0.0
	for _, capacity := range s.capacity {
		total += machineCount(capacity)
	}
	return int(total)
}

// largestZone returns the zone with the most machines; ties are broken by name.
func (s *Site) largestZone() string {
	count := map[string]float64{}
	for _, capacity := range s.capacity {
		count[text(capacity["zone"])] += machineCount(capacity)
	}
	largest := ""
	for zone, machines := range count {
		if largest == "" || machines > count[largest] || machines == count[largest] && zone < largest {
			largest = zone
		}
	}
	return largest
}

// machineCount returns the number of on-demand and spot machines of a capacity entry.
func machineCount(capacity map[string]any) float64 {
	return number(capacity["count"]) + number(capacity["spot"])
}

// findClass returns the entry of the job class with the given name, or nil.
func (s *Site) findClass(name string) map[string]any {
	for _, class := range s.jobs {
		if class["name"] == name {
			return class
		}
	}
	return nil
}

// number converts a value of a site file to a number, or 0 if it is not one.
func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// text converts a value of a site file to a string, or "" if it is not one.
func text(v any) string {
	s, _ := v.(string)
	return s
}
