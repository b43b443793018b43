// Command knownred judges a run of `go test -json`: it shows the output of what failed, and accepts only the failures of tests
// that a list names as known to fail. It is a tool of `make check`.
//
// The list has one line for each test function: its name, its package, the cause of the failure (several words) and the issue. The
// check fails if a listed test did not run, and a listed test that passes is reported, so that the list doesn't go stale. A package
// that crashed or was not built is never accepted, since other tests of it may not have run.
//
// The exit status is 0 if only listed tests failed, 1 if the check fails, and 2 if the arguments, the list or the
// events can't be read. Lines that begin with NOTE or FAILED give the reasons.
package main
