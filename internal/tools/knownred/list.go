package main

import (
	"bufio"
	"io"
	"strings"
)

// testID names one test function of one package.
type testID struct {
	Package string
	Name    string
}

// entry is one line of the list: a test that is known to fail, the cause, and the issue that tracks it.
type entry struct {
	testID
	Cause string
	Issue string
}

// minFields is the least number of fields of a line: name, package, cause (at least one word), issue.
const minFields = 4

// readList reads the list; blank lines are skipped. It fails with a lineError at a line that isn't an entry, that names
// anything but a test function, or that repeats a test.
func readList(from io.Reader) ([]entry, error) {
	var list []entry
	seen := map[testID]bool{}
	lines := bufio.NewScanner(from)
	for number := 1; lines.Scan(); number++ {
		text := lines.Text()
		if strings.TrimSpace(text) == "" {
			continue
		}
		parsed, err := parseEntry(text)
		if err == nil && seen[parsed.testID] {
			err = errDuplicate
		}
		if err != nil {
			return nil, &lineError{Number: number, Text: text, Cause: err}
		}
		seen[parsed.testID] = true
		list = append(list, parsed)
	}
	return list, lines.Err()
}

// parseEntry parses one line; the cause may have several words. Errors: errTooFewFields, errNotATest.
func parseEntry(line string) (entry, error) {
	fields := strings.Fields(line)
	if len(fields) < minFields {
		return entry{}, errTooFewFields
	}
	name, last := fields[0], len(fields)-1
	if !strings.HasPrefix(name, "Test") || strings.Contains(name, "/") {
		return entry{}, errNotATest
	}
	return entry{
		testID: testID{Package: fields[1], Name: name},
		Cause:  strings.Join(fields[2:last], " "),
		Issue:  fields[last],
	}, nil
}
