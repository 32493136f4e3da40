// Package docs_test checks that the files, headings, tests, make targets and programs that the
// documentation pages name exist.
package docs_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// root is the path of the repository relative to this package.
const root = ".."

var (
	headingPattern     = regexp.MustCompile(`(?m)^#{1,6} +(.+?) *$`)
	headingNoise       = regexp.MustCompile(`[^\p{L}\p{N}_ -]`)
	linkPattern        = regexp.MustCompile(`\[[^\]]*\]\(([^)\s]+)\)`)
	codeSpanPattern    = regexp.MustCompile("`[^`]+`")
	codeLinePattern    = regexp.MustCompile(`(?m)^(?:    |\t).*$`)
	fencePattern       = regexp.MustCompile("(?ms)^```.*?^```")
	paragraphPattern   = regexp.MustCompile(`\n\s*\n`)
	testNamePattern    = regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`)
	testFuncPattern    = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`)
	makePattern        = regexp.MustCompile(`(?:^|&& )make((?: +[a-z][a-z-]*)+)`)
	makeTargetPattern  = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
	makeLinkPattern    = regexp.MustCompile(`(?m)^\tln -sfn \S+ target/(\S+)$`)
	programPathPattern = regexp.MustCompile(`\b(?:target|cmd)/([a-z][a-z0-9-]*)`)
	programPattern     = regexp.MustCompile(`(?:^|&& )(micaspindle[a-z-]*)(?: |$)`)
)

// page is a Markdown file of the repository.
type page struct {
	path, text string
}

// code returns the page's code spans and the lines of its code blocks, in which commands and
// programs are named.
func (p page) code() (pieces []string) {
	for _, block := range fencePattern.FindAllString(p.text, -1) {
		pieces = append(pieces, strings.Split(block, "\n")...)
	}
	prose := fencePattern.ReplaceAllString(p.text, "")
	pieces = append(pieces, codeLinePattern.FindAllString(prose, -1)...)
	for _, paragraph := range paragraphPattern.Split(prose, -1) {
		for _, span := range codeSpanPattern.FindAllString(paragraph, -1) {
			pieces = append(pieces, strings.Trim(span, "`"))
		}
	}
	for i, piece := range pieces {
		pieces[i] = strings.Join(strings.Fields(piece), " ")
	}
	return pieces
}

// links returns the targets of the page's links outside code. Indented lines are not taken for code,
// since they may continue a list item.
func (p page) links() (targets []string) {
	prose := codeSpanPattern.ReplaceAllString(fencePattern.ReplaceAllString(p.text, ""), "")
	for _, match := range linkPattern.FindAllStringSubmatch(prose, -1) {
		targets = append(targets, match[1])
	}
	return targets
}

// anchors returns the names by which links refer to the page's headings.
func (p page) anchors() map[string]bool {
	anchors := map[string]bool{}
	for _, match := range headingPattern.FindAllStringSubmatch(fencePattern.ReplaceAllString(p.text, ""), -1) {
		plain := headingNoise.ReplaceAllString(strings.ToLower(match[1]), "")
		name := strings.ReplaceAll(plain, " ", "-")
		unique := name
		for repeats := 1; anchors[unique]; repeats++ {
			unique = name + "-" + strconv.Itoa(repeats)
		}
		anchors[unique] = true
	}
	return anchors
}

// readPages reads README.md, CONTRIBUTING.md and all pages under docs.
func readPages(t *testing.T) []page {
	t.Helper()
	paths := []string{filepath.Join(root, "README.md"), filepath.Join(root, "CONTRIBUTING.md")}
	paths = append(paths, findFiles(t, filepath.Join(root, "docs"), ".md")...)
	pages := make([]page, len(paths))
	for i, path := range paths {
		pages[i] = page{path: path, text: readFile(t, path)}
	}
	return pages
}

// findFiles returns the paths of the files under a folder whose names end in ending.
func findFiles(t *testing.T, folder, ending string) (paths []string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, ending) {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatalf("no %s files under %s", ending, folder)
	}
	return paths
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// firstGroups returns the text of the first group for each match of a pattern.
func firstGroups(pattern *regexp.Regexp, text string) (found []string) {
	for _, match := range pattern.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}

// Each relative link refers to an existing file or folder and, if it has an anchor, to an existing
// heading.
func TestLinksResolve(t *testing.T) {
	for _, p := range readPages(t) {
		for _, target := range p.links() {
			if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
				continue
			}
			checkLink(t, p, target)
		}
	}
}

func checkLink(t *testing.T, p page, target string) {
	t.Helper()
	file, anchor, hasAnchor := strings.Cut(target, "#")
	path := p.path
	if file != "" {
		path = filepath.Join(filepath.Dir(p.path), file)
	}
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%s: link to %s: no such file", p.path, target)
		return
	}
	if hasAnchor && !(page{text: readFile(t, path)}).anchors()[anchor] {
		t.Errorf("%s: link to %s: no such heading", p.path, target)
	}
}

// Each test, benchmark and fuzz target that a page names exists.
func TestNamedTestsExist(t *testing.T) {
	exists := map[string]bool{}
	for _, folder := range []string{"cmd", "internal", "docs"} {
		for _, path := range findFiles(t, filepath.Join(root, folder), ".go") {
			if !strings.HasSuffix(path, "_test.go") {
				continue
			}
			for _, name := range firstGroups(testFuncPattern, readFile(t, path)) {
				exists[name] = true
			}
		}
	}
	for _, p := range readPages(t) {
		names := testNamePattern.FindAllString(p.text, -1)
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			if !exists[name] {
				t.Errorf("%s names the test %s, which does not exist", p.path, name)
			}
		}
	}
}

// Each make target that a page names is in the Makefile.
func TestNamedMakeTargetsExist(t *testing.T) {
	targets := firstGroups(makeTargetPattern, readFile(t, filepath.Join(root, "Makefile")))
	for _, p := range readPages(t) {
		for _, piece := range p.code() {
			for _, words := range firstGroups(makePattern, piece) {
				for _, target := range strings.Fields(words) {
					if !slices.Contains(targets, target) {
						t.Errorf("%s names the make target %s, which the Makefile does not have", p.path, target)
					}
				}
			}
		}
	}
}

// Each program that a page names exists under cmd. The former names that the Makefile links are
// allowed only in paragraphs that contain "former name".
func TestNamedProgramsExist(t *testing.T) {
	formerNames := firstGroups(makeLinkPattern, readFile(t, filepath.Join(root, "Makefile")))
	for _, p := range readPages(t) {
		for _, piece := range p.code() {
			for _, name := range firstGroups(programPattern, piece) {
				checkProgram(t, p, name)
			}
		}
		for _, paragraph := range paragraphPattern.Split(p.text, -1) {
			for _, name := range firstGroups(programPathPattern, paragraph) {
				if !slices.Contains(formerNames, name) {
					checkProgram(t, p, name)
				}
			}
			checkFormerNames(t, p, paragraph, formerNames)
		}
	}
}

func checkProgram(t *testing.T, p page, name string) {
	t.Helper()
	if _, err := os.Stat(filepath.Join(root, "cmd", name)); err != nil {
		t.Errorf("%s names the program %s, which does not exist under cmd", p.path, name)
	}
}

func checkFormerNames(t *testing.T, p page, paragraph string, formerNames []string) {
	t.Helper()
	if strings.Contains(paragraph, "former name") {
		return
	}
	for _, name := range formerNames {
		if regexp.MustCompile(`\b` + regexp.QuoteMeta(name) + `\b`).MatchString(paragraph) {
			t.Errorf("%s uses %s, the former name of a program; use the present name", p.path, name)
		}
	}
}
