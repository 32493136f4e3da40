package buildtool

import "fmt"

// visitState is the state of a node in the depth-first search of checkGraph.
type visitState int

const (
	unvisited visitState = iota
	visiting
	checked
)

// checkGraph checks that all nodes named as inputs exist and that the graph has no cycle.
func checkGraph(nodes []Node) error {
	inputs := map[string]map[string]string{}
	for _, node := range nodes {
		inputs[node.Name] = node.Inputs
	}
	states := map[string]visitState{}
	var visit func(name string) error
	visit = func(name string) error {
		dependencies, ok := inputs[name]
		switch {
		case !ok:
			return fmt.Errorf("unknown action %q", name)
		case states[name] == visiting:
			return fmt.Errorf("action %q depends on itself", name)
		case states[name] == checked:
			return nil
		}
		states[name] = visiting
		for _, input := range dependencies {
			if err := visit(input); err != nil {
				return err
			}
		}
		states[name] = checked
		return nil
	}
	for _, node := range nodes {
		if err := visit(node.Name); err != nil {
			return err
		}
	}
	return nil
}
