package program

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// chainOf returns a machine with one chain of complete turns, and the name of the last turn.
func chainOf(length, inputBytes, outputBytes int) (machine *Machine, last string) {
	machine = New()
	for i := range length {
		name := fmt.Sprint("turn ", i)
		machine.Apply(beginRemembered(name, last, strings.Repeat("i", inputBytes), 0))
		machine.Apply(endTurn(name, true, 1, strings.Repeat("o", outputBytes), 0))
		last = name
	}
	return machine, last
}

func BenchmarkMachine_BeginAndEnd(b *testing.B) {
	tests := []struct{ turns, input, output int }{
		{0, 0, 0},
		{10, 1600, 400},
		{400, 1600, 500}, // a context of 210,000 tokens at four bytes each
	}
	for _, test := range tests {
		b.Run(fmt.Sprint("after ", test.turns, " turns"), func(b *testing.B) {
			machine, last := chainOf(test.turns, test.input, test.output)
			input := strings.Repeat("x", 1600)
			b.ReportAllocs()
			atS := 0.0
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprint("next ", i)
				atS += 0.001
				command := beginRemembered(name, last, input, atS)
				command.Begin.Program = name
				machine.Apply(command)
				machine.Apply(endTurn(name, false, 1, "", atS))
			}
		})
	}
}

func BenchmarkMachine_Replay(b *testing.B) {
	machine, last := chainOf(400, 1600, 500)
	input := strings.Repeat("x", 1600)
	b.ReportAllocs()
	atS := 0.0
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprint("next ", i)
		atS += 0.001
		machine.Replay(beginRemembered(name, last, input, atS))
		machine.Replay(endTurn(name, false, 1, "", atS))
	}
}

// BenchmarkMachine_Memory reports the memory that a program and a turn take without inputs and outputs.
func BenchmarkMachine_Memory(b *testing.B) {
	const programs = 20_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		machine := New()
		for i := range programs {
			name := fmt.Sprintf("%016x", i)
			machine.Apply(beginTurn(name, name[8:], 1000, 100))
			machine.Apply(endTurn(name, true, 100, "", 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/programs, "B/program+turn")
		runtime.KeepAlive(machine)
	}
}

func BenchmarkMachine_Capture(b *testing.B) {
	machine := filled(2000)
	b.ReportAllocs()
	for b.Loop() {
		machine.Capture()
	}
}

func BenchmarkMachine_Snapshot(b *testing.B) {
	machine := filled(2000)
	b.ReportAllocs()
	for b.Loop() {
		b.SetBytes(int64(len(machine.Snapshot())))
	}
}

func BenchmarkMachine_Restore(b *testing.B) {
	data := filled(2000).Snapshot()
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if err := New().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
