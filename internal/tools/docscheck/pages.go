package main

import (
	"bufio"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	codeSpan = regexp.MustCompile("`([^`]+)`")
	link     = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)
	// treePath matches a path in this repository, which begins with one of its top-level folders. The build output in bin and target isn't
	// checked.
	treePath = regexp.MustCompile(`^(?:\./)?((?:cmd|control|deploy|docs|examples|internal|pluginsdk|tools|\.ci)/[\w./*-]*\w[\w/*]*|[A-Z]\w+\.md)$`)
	makeCall = regexp.MustCompile(`^make ([a-z][a-z-]*)`)
	// symbol matches package.Name, package.Type.member and package.type.member. It doesn't match package.name, which could as
	// well be the key of a settings file.
	symbol = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Z]\w*(?:\.[A-Za-z]\w*)?|[a-z]\w*\.[A-Za-z]\w*)(?:\(.*\))?$`)
	target = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
	// testName matches a test, benchmark or fuzz target, optionally followed by the name of a subtest.
	testName = regexp.MustCompile(`^((?:Test|Benchmark|Fuzz)[A-Z]\w*)(?:/.*)?$`)
	// testPattern matches a command that runs some tests or benchmarks by a pattern.
	testPattern = regexp.MustCompile(`^go test .*-(run|bench|fuzz) '?([^' ]+)`)
	// metric matches the name of a metric, optionally with the suffix of one of a histogram's series and with labels.
	metric = regexp.MustCompile(`^(` + metricPrefix + `[a-z_]+?)(?:_bucket|_sum|_count)?(?:\{.*\})?$`)
	// packageTable matches the head of a table whose first column names packages.
	packageTable = regexp.MustCompile(`^\| package\b`)
	packageName  = regexp.MustCompile(`^[a-z][a-z0-9/]*$`)
)

// metricPrefix begins the names of all metrics.
const metricPrefix = "mastusher_"

// finding is one error in a page, such as a name that doesn't exist in the tree. Line 0 stands for the whole page.
type finding struct {
	page   string
	line   int
	reason string
}

func (f finding) String() string { return fmt.Sprintf("%s:%d: %s", f.page, f.line, f.reason) }

// checker holds what is known of the tree that pages are checked against.
type checker struct {
	root    string
	known   *source
	targets map[string]bool
}

// checkPages checks the named pages, and all pages in the named folders, against the tree under root.
func checkPages(root string, pages []string) ([]finding, error) {
	known, err := readSource(root)
	if err != nil {
		return nil, err
	}
	makefile, err := os.ReadFile(filepath.Join(root, "Makefile"))
	if err != nil {
		return nil, err
	}
	c := checker{root: root, known: known, targets: map[string]bool{}}
	for _, m := range target.FindAllStringSubmatch(string(makefile), -1) {
		c.targets[m[1]] = true
	}
	var findings []finding
	for _, start := range pages {
		found, walkErr := c.pagesBelow(filepath.Join(root, start))
		if walkErr != nil {
			return nil, walkErr
		}
		findings = append(findings, found...)
	}
	logs, err := c.logPages()
	return append(findings, logs...), err
}

// pagesBelow checks one page, or all pages in a folder.
func (c *checker) pagesBelow(start string) (findings []finding, err error) {
	err = filepath.WalkDir(start, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".md") {
			return err
		}
		found, err := c.page(path)
		findings = append(findings, found...)
		return err
	})
	return findings, err
}

// page checks one page, line by line.
func (c *checker) page(path string) ([]finding, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var findings []finding
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	packages := table{head: packageTable}
	for number := 1; lines.Scan(); number++ {
		text := lines.Text()
		reasons := c.line(filepath.Dir(path), text)
		for _, name := range packages.firstCell(text) {
			if packageName.MatchString(name) && !c.known.hasPackage(name) {
				reasons = append(reasons, "there is no package "+name)
			}
		}
		for _, reason := range reasons {
			findings = append(findings, finding{path, number, reason})
		}
	}
	return findings, lines.Err()
}

// line returns the errors in one line of a page that lies in folder.
func (c *checker) line(folder, text string) (reasons []string) {
	for _, m := range link.FindAllStringSubmatch(text, -1) {
		if !strings.Contains(m[1], "://") && !exists(filepath.Join(folder, m[1])) {
			reasons = append(reasons, "link to "+m[1]+", which does not exist")
		}
	}
	spans := codeSpan.FindAllStringSubmatch(text, -1)
	if strings.HasPrefix(text, "    ") {
		spans = append(spans, []string{"", strings.TrimSpace(text)})
	}
	for _, m := range spans {
		reasons = append(reasons, c.span(m[1])...)
	}
	return reasons
}

// table finds the rows of those tables whose head matches, as a page is read line by line.
type table struct {
	head   *regexp.Regexp
	inside bool // the previous line belonged to such a table
}

// firstCell returns the code spans in the first cell of the next line of the page, if that is a row.
func (t *table) firstCell(text string) []string {
	if !t.inside || !strings.HasPrefix(text, "|") {
		t.inside = t.head.MatchString(text)
		return nil
	}
	cell, _, _ := strings.Cut(strings.TrimPrefix(text, "|"), "|")
	var spans []string
	for _, m := range codeSpan.FindAllStringSubmatch(cell, -1) {
		spans = append(spans, m[1])
	}
	return spans
}

// span checks one code span, which may be a call of make, a symbol, a test, a command that runs tests or a metric, and each word in it
// that is a path of the tree.
func (c *checker) span(code string) (reasons []string) {
	if m := makeCall.FindStringSubmatch(code); m != nil && !c.targets[m[1]] {
		reasons = append(reasons, "make "+m[1]+": no such target")
	}
	if m := symbol.FindStringSubmatch(code); m != nil {
		if declared := c.known.symbols[m[1]]; declared != nil && !declared[m[2]] {
			reasons = append(reasons, "package "+m[1]+" declares no "+m[2])
		}
	}
	if m := testName.FindStringSubmatch(code); m != nil && !c.known.declaresTest(m[1]) {
		reasons = append(reasons, "no package declares "+m[1])
	}
	if m := testPattern.FindStringSubmatch(code); m != nil && !c.known.matchesTest(m[1], m[2]) {
		reasons = append(reasons, "no test matches -"+m[1]+" "+m[2])
	}
	if m := metric.FindStringSubmatch(code); m != nil && !c.known.metrics[m[1]] {
		reasons = append(reasons, "there is no metric "+m[1])
	}
	for word := range strings.FieldsSeq(code) {
		word = strings.TrimSuffix(strings.Trim(word, `"',;:()`), "/...")
		if m := treePath.FindStringSubmatch(word); m != nil {
			found, err := filepath.Glob(filepath.Join(c.root, m[1]))
			if err != nil || len(found) == 0 {
				reasons = append(reasons, m[1]+" does not exist")
			}
		}
	}
	return reasons
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
