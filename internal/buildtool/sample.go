package buildtool

import "fmt"

// filesPerLink is the number of compiled files that each link action of a sample build reads.
const filesPerLink = 10

// SampleBuild returns a build for testing a cluster: it compiles the given number of source
// files, links them in groups of filesPerLink, and packs all in the last action. Each action
// sleeps for the given number of seconds. want is the expected output of the last action.
func SampleBuild(name string, sources int, seconds float64) (nodes []Node, last string, want []byte) {
	sleep := ""
	if seconds > 0 {
		sleep = fmt.Sprintf("sleep %g; ", seconds)
	}
	all := ""
	pack := Node{Name: "pack", Script: sleep + "cat lib* | wc -c | tr -d ' ' >out; cat lib* >>out", Inputs: map[string]string{}}
	var link *Node
	for i := range sources {
		compile := Node{
			Name:    fmt.Sprintf("compile-%05d", i),
			Script:  sleep + "sed s/source/object/ <src >out",
			Sources: map[string][]byte{"src": fmt.Appendf(nil, "%s source %d\n", name, i)},
		}
		all += fmt.Sprintf("%s object %d\n", name, i)
		nodes = append(nodes, compile)
		if i%filesPerLink == 0 {
			link = &Node{Name: fmt.Sprintf("link-%05d", i/filesPerLink), Script: sleep + "cat o* >out", Inputs: map[string]string{}}
			pack.Inputs[fmt.Sprintf("lib%05d", i/filesPerLink)] = link.Name
		}
		link.Inputs[fmt.Sprintf("o%05d", i)] = compile.Name
		if i%filesPerLink == filesPerLink-1 || i == sources-1 {
			nodes = append(nodes, *link)
		}
	}
	return append(nodes, pack), pack.Name, fmt.Appendf(nil, "%d\n%s", len(all), all)
}
