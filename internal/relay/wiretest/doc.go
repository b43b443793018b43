// Package wiretest runs recorded byte exchanges against a connection. The tests of all wire formats of the relay use it.
//
// A recording is a text file. The text after "> " is sent, and the text after "< " is expected, each followed by CR LF, or by nothing
// if the line ends with a backslash. "< EOF" expects that the peer closes the connection. {name} stands for a value that the test
// gives, and {*} at the end of an expected line for any text. Other lines are comments.
package wiretest
