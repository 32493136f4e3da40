package scenario

import (
	"errors"
	"fmt"

	"github.com/BurntSushi/toml"
)

// Site is a deployment as its site file describes it; what this package does not know of it
// stays as it is.
type Site struct {
	all      map[string]any
	teams    []map[string]any
	jobs     []map[string]any
	capacity []map[string]any
}

// ReadSite reads a site file.
func ReadSite(data []byte) (*Site, error) {
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
			return nil, fmt.Errorf("no [[%s]]", section.name)
		}
		*section.into = list
	}
	if _, ok := s.all["nodes"].(map[string]any); !ok {
		return nil, errors.New("no [nodes]")
	}
	return s, nil
}

// Name is the deployment's.
func (s *Site) Name() string { return text(s.all["name"]) }

// Wire is the name of the file, beside the site's, that it needs.
func (s *Site) Wire() string { return text(s.all["wire"]) }

// nodes describes the controllers; ReadSite has checked that it is there.
func (s *Site) nodes() map[string]any { return s.all["nodes"].(map[string]any) }

// Controllers is how many there are.
func (s *Site) Controllers() int { return int(number(s.nodes()["count"])) }

// socketLimit is how many connections a controller may have; 0: not said.
func (s *Site) socketLimit() float64 { return number(s.nodes()["max_connections"]) }

// Machines is how many the cloud has.
func (s *Site) Machines() int {
	total := 0.0
	for _, capacity := range s.capacity {
		total += machineCount(capacity)
	}
	return int(total)
}

// largestZone is the zone with most machines, of equals the first by name.
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

// machineCount is how many machines an entry of the capacity stands for, ordinary and spot.
func machineCount(capacity map[string]any) float64 {
	return number(capacity["count"]) + number(capacity["spot"])
}

// class is the entry of a class of jobs; nil: there is none of that name.
func (s *Site) class(name string) map[string]any {
	for _, class := range s.jobs {
		if class["name"] == name {
			return class
		}
	}
	return nil
}

// number is a number of a site file; 0 if it is none.
func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// text is a string of a site file; "" if it is none.
func text(v any) string {
	s, _ := v.(string)
	return s
}
