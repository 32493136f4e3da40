package buildtool

import "fmt"

// visitState is the state of a node while the graph is checked.
type visitState int

const (
	unvisited visitState = iota
	visiting
	checked
)

// checkGraph checks that all inputs are outputs of nodes, and that no node needs itself.
func checkGraph(nodes []Node) error {
	inputs := map[string]map[string]string{}
	for _, node := range nodes {
		inputs[node.Name] = node.Inputs
	}
	states := map[string]visitState{}
	var visit func(name string) error
	visit = func(name string) error {
		needed, ok := inputs[name]
		switch {
		case !ok:
			return fmt.Errorf("no action is called %q", name)
		case states[name] == visiting:
			return fmt.Errorf("action %q needs itself", name)
		case states[name] == checked:
			return nil
		}
		states[name] = visiting
		for _, input := range needed {
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
