package buildtool

import "fmt"

// Sample is a build to try a cluster with: so many sources are compiled, ten at a
// time linked, and all packed by the last action. Each action takes the given
// seconds. want is what the last action's output has to be.
func Sample(name string, sources int, seconds float64) (nodes []Node, last string, want []byte) {
	work := ""
	if seconds > 0 {
		work = fmt.Sprintf("sleep %g; ", seconds)
	}
	all := ""
	packed := Node{Name: "pack", Script: work + "cat lib* | wc -c | tr -d ' ' >out; cat lib* >>out", Inputs: map[string]string{}}
	var lib *Node
	for i := range sources {
		object := Node{Name: fmt.Sprintf("compile-%05d", i), Script: work + "sed s/source/object/ <src >out",
			Sources: map[string][]byte{"src": fmt.Appendf(nil, "%s source %d\n", name, i)}}
		all += fmt.Sprintf("%s object %d\n", name, i)
		nodes = append(nodes, object)
		if i%10 == 0 {
			lib = &Node{Name: fmt.Sprintf("link-%05d", i/10), Script: work + "cat o* >out", Inputs: map[string]string{}}
			packed.Inputs[fmt.Sprintf("lib%05d", i/10)] = lib.Name
		}
		lib.Inputs[fmt.Sprintf("o%05d", i)] = object.Name
		if i%10 == 9 || i == sources-1 {
			nodes = append(nodes, *lib)
		}
	}
	return append(nodes, packed), packed.Name, fmt.Appendf(nil, "%d\n%s", len(all), all)
}
