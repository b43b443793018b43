// Command packages checks that a deploy file lists the Debian packages that its build needs. It is the tool of `make packages`.
//
// It runs the build line with itself as the C compiler (compiler.go). That calls the real compiler with flags that make it name
// each program, header, object and library that it opens. The names are collected (trace.go), dpkg is asked which packages own
// them (dpkg.go), and each file must be owned by a listed package or by one on which a listed package depends.
//
// The exit status is 0 if each list is complete or the machine has no dpkg, 1 if a list isn't complete or can't be checked, and 2
// without arguments.
package main
