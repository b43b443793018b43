package consensus

import "fmt"

// discardLogger is a raft.Logger that drops all lines. Fatal and Panic must not return: they panic, and recoverPanic returns an error.
type discardLogger struct{}

// Debug drops the line.
func (discardLogger) Debug(...any) {}

// Debugf drops the line.
func (discardLogger) Debugf(string, ...any) {}

// Info drops the line.
func (discardLogger) Info(...any) {}

// Infof drops the line.
func (discardLogger) Infof(string, ...any) {}

// Warning drops the line.
func (discardLogger) Warning(...any) {}

// Warningf drops the line.
func (discardLogger) Warningf(string, ...any) {}

// Error drops the line.
func (discardLogger) Error(...any) {}

// Errorf drops the line.
func (discardLogger) Errorf(string, ...any) {}

// Fatal panics with the line.
func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf panics with the line.
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic panics with the line.
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf panics with the line.
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
