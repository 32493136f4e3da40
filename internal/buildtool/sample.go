package buildtool

import "fmt"

// linkSize is how many compiled files an action of a sample build links.
const linkSize = 10

// Sample returns a build to test a cluster with: the given number of sources are compiled,
// linked ten at a time, and packed by the last action. Each action takes the given seconds.
// want is the correct output of the last action.
func Sample(name string, sources int, seconds float64) (nodes []Node, last string, want []byte) {
	work := ""
	if seconds > 0 {
		work = fmt.Sprintf("sleep %g; ", seconds)
	}
	all := ""
	pack := Node{Name: "pack", Script: work + "cat lib* | wc -c | tr -d ' ' >out; cat lib* >>out", Inputs: map[string]string{}}
	var link *Node
	for i := range sources {
		compile := Node{
			Name:    fmt.Sprintf("compile-%05d", i),
			Script:  work + "sed s/source/object/ <src >out",
			Sources: map[string][]byte{"src": fmt.Appendf(nil, "%s source %d\n", name, i)},
		}
		all += fmt.Sprintf("%s object %d\n", name, i)
		nodes = append(nodes, compile)
		if i%linkSize == 0 {
			link = &Node{Name: fmt.Sprintf("link-%05d", i/linkSize), Script: work + "cat o* >out", Inputs: map[string]string{}}
			pack.Inputs[fmt.Sprintf("lib%05d", i/linkSize)] = link.Name
		}
		link.Inputs[fmt.Sprintf("o%05d", i)] = compile.Name
		if i%linkSize == linkSize-1 || i == sources-1 {
			nodes = append(nodes, *link)
		}
	}
	return append(nodes, pack), pack.Name, fmt.Appendf(nil, "%d\n%s", len(all), all)
}
