// Command packages checks that a deploy file lists the Debian packages that its build needs. `make packages` runs it.
//
// It runs the build line with itself as the C compiler (compiler.go), and in that role calls the real compiler with flags that make it
// print each program, header, object and library that it opens. It collects these paths (trace.go), asks dpkg which packages own the
// files (dpkg.go), and checks that each file is owned by a listed package or by one on which a listed package depends.
//
// The exit status is 0 if each list is complete or the machine has no dpkg, 1 if a list isn't complete or can't be checked, and 2
// if there are no arguments.
package main
