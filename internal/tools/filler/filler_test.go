package filler

import (
	"encoding/json"
	"reflect"
	"testing"
)

type sample struct {
	Flag  bool
	Count int8
	Size  uint32
	Share float64
	Name  string
	Raw   json.RawMessage
	Bytes []byte
	List  []sample2
	ByKey map[uint64]string
	Next  *sample2
	Pair  [2]uint64
}

type sample2 struct{ A, B int }

func TestFill_EveryField_IsSetAlikeEachTime(t *testing.T) {
	first, second := New(&sample{}), New(&sample{})
	if !reflect.DeepEqual(first, second) {
		t.Errorf("filled with %+v, then with %+v", first, second)
	}
	value := reflect.ValueOf(first).Elem()
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("%s is zero", value.Type().Field(i).Name)
		}
	}
	s := first.(*sample)
	if len(s.List) != 2 || s.List[0] == s.List[1] || s.Next.A == s.Next.B {
		t.Errorf("equal elements, or not two of them: %+v", s)
	}
	if !json.Valid(s.Raw) {
		t.Errorf("%s is not valid JSON", s.Raw)
	}
}

func TestFill_KindThatNothingCarries_Panics(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("Fill does not panic on a channel")
		}
	}()
	Fill(&struct{ C chan int }{})
}
