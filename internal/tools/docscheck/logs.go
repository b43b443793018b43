package main

import (
	"bufio"
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// logPage is the page that describes every log line of the programs in service.
const logPage = "docs/operations/logs.md"

// loggedTrees are the folders whose log lines logPage must describe: those of the two programs in service.
var loggedTrees = []string{"internal/tier", "internal/relay", "cmd/mastusher", "cmd/mastusher-tier"}

// unloggedTrees are the folders within loggedTrees that no program in service links: simulators, test support, demonstrations.
var unloggedTrees = []string{
	"internal/tier/demo", "internal/tier/exchangetest", "internal/tier/fleettest", "internal/tier/localtier", "internal/tier/simulation",
	"internal/tier/soak", "internal/tier/standin", "internal/relay/fleet/simulation", "internal/relay/fleet/testcluster",
	"internal/relay/simulator", "internal/relay/standin",
}

var (
	// eventTable matches the head of a table whose first column names log lines.
	eventTable = regexp.MustCompile(`^\| event\b`)
	// slogMethods are the methods of slog.Logger whose first argument is the message.
	slogMethods = []string{"Debug", "Info", "Warn", "Error"}
	// logFunctions are functions of this repository whose first argument becomes the message of a log line.
	logFunctions = []string{"log", "logPhase", "logShutdownPhase"}
)

// event is the message of a log line, or only its prefix if the code completes the message at run time.
type event struct {
	text     string
	isPrefix bool
}

// matches reports whether a message on a page is this event.
func (e event) matches(message string) bool {
	return e.text == message || e.isPrefix && strings.HasPrefix(message, e.text)
}

// logPages checks that logPage names exactly the log lines of loggedTrees. It reports nothing if logPage does not exist.
func (c *checker) logPages() ([]finding, error) {
	path := filepath.Join(c.root, logPage)
	if !exists(path) {
		return nil, nil
	}
	described, err := describedEvents(path)
	if err != nil {
		return nil, err
	}
	var findings []finding
	for _, d := range described {
		if !slices.ContainsFunc(c.known.events, func(e event) bool { return e.matches(d.reason) }) {
			findings = append(findings, finding{path, d.line, "nothing logs " + strconv.Quote(d.reason)})
		}
	}
	reported := map[event]bool{}
	for _, e := range c.known.events {
		if !reported[e] && !slices.ContainsFunc(described, func(d finding) bool { return e.matches(d.reason) }) {
			findings = append(findings, finding{path, 0, "the log line " + strconv.Quote(e.text) + " isn't described"})
		}
		reported[e] = true
	}
	return findings, nil
}

// describedEvents returns the messages in the first cells of a page's tables of log lines, each as the reason of a finding with its
// line number.
func describedEvents(path string) ([]finding, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var described []finding
	lines := bufio.NewScanner(file)
	events := table{head: eventTable}
	for number := 1; lines.Scan(); number++ {
		for _, message := range events.firstCell(lines.Text()) {
			described = append(described, finding{path, number, message})
		}
	}
	return described, lines.Err()
}

// eventsOf returns the log lines of a file: the values after the key "msg" in an argument list or a literal (go-kit), and the
// first arguments of slog's methods and of logFunctions.
func eventsOf(file *ast.File, folder string, constants map[string]string) []event {
	if !within(folder, loggedTrees) || within(folder, unloggedTrees) {
		return nil
	}
	var events []event
	add := func(message ast.Expr) {
		if e, ok := messageOf(message, file.Name.Name, constants); ok {
			events = append(events, e)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			addKeyed(n.Args, add)
			if isSlogCall(n) || isLogFunction(n) {
				add(n.Args[0])
			}
		case *ast.CompositeLit:
			addKeyed(n.Elts, add)
		}
		return true
	})
	return events
}

// addKeyed adds the elements of a list that follow the key "msg".
func addKeyed(list []ast.Expr, add func(ast.Expr)) {
	for i := range len(list) - 1 {
		if key, ok := stringLiteral(list[i]); ok && key == "msg" {
			add(list[i+1])
		}
	}
}

// isSlogCall reports whether a call with arguments is that of a slog method on a variable or field named log or logger.
func isSlogCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !slices.Contains(slogMethods, method.Sel.Name) {
		return false
	}
	switch receiver := method.X.(type) {
	case *ast.Ident:
		return receiver.Name == "log" || receiver.Name == "logger"
	case *ast.SelectorExpr:
		return receiver.Sel.Name == "log" || receiver.Sel.Name == "logger"
	}
	return false
}

// isLogFunction reports whether a call is one of logFunctions with arguments.
func isLogFunction(call *ast.CallExpr) bool {
	if len(call.Args) == 0 {
		return false
	}
	switch function := call.Fun.(type) {
	case *ast.Ident:
		return slices.Contains(logFunctions, function.Name)
	case *ast.SelectorExpr:
		return slices.Contains(logFunctions, function.Sel.Name)
	}
	return false
}

// messageOf returns the event for a message expression in package pkg: a string literal, a string constant, or as a prefix the first
// operand of a concatenation.
func messageOf(e ast.Expr, pkg string, constants map[string]string) (event, bool) {
	switch e := e.(type) {
	case *ast.BinaryExpr:
		first, ok := messageOf(e.X, pkg, constants)
		return event{first.text, true}, ok
	case *ast.Ident:
		text, ok := constants[pkg+"."+e.Name]
		return event{text: text}, ok
	case *ast.SelectorExpr:
		from, _ := e.X.(*ast.Ident)
		if from == nil {
			return event{}, false
		}
		text, ok := constants[from.Name+"."+e.Sel.Name]
		return event{text: text}, ok
	}
	text, ok := stringLiteral(e)
	return event{text: text}, ok
}

// stringConstants returns the values of all constants that are a single string literal, by package.Name.
func stringConstants(files []*ast.File) map[string]string {
	constants := map[string]string{}
	for _, file := range files {
		for _, declaration := range file.Decls {
			general, ok := declaration.(*ast.GenDecl)
			if !ok || general.Tok != token.CONST {
				continue
			}
			for _, spec := range general.Specs {
				values := spec.(*ast.ValueSpec)
				for i, value := range values.Values {
					if text, ok := stringLiteral(value); ok {
						constants[file.Name.Name+"."+values.Names[i].Name] = text
					}
				}
			}
		}
	}
	return constants
}

// stringLiteral returns the value of a node that is a string literal.
func stringLiteral(n ast.Node) (string, bool) {
	literal, ok := n.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// within reports whether a folder is one of the trees or below one.
func within(folder string, trees []string) bool {
	return slices.ContainsFunc(trees, func(tree string) bool { return folder == tree || strings.HasPrefix(folder, tree+"/") })
}
