package workload

import (
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// The state of a large job consists of very many steps and tasks, nearly all of which are
// untouched or done. A snapshot of them is taken on the goroutine of the log, where the reflection of the
// msgpack library takes ten times as long as the methods below. They use the format of the
// library, so that hosts of earlier versions read and write the same snapshots.

var (
	_ msgpack.CustomEncoder = (*Occurrence)(nil)
	_ msgpack.CustomDecoder = (*Occurrence)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (o *Occurrence) EncodeMsgpack(e *msgpack.Encoder) error {
	w := writer{e: e}
	w.mapLen(2)
	w.name("s")
	if o.Steps == nil {
		w.nil()
	} else {
		w.arrayLen(len(o.Steps))
		for i := range o.Steps {
			w.step(&o.Steps[i])
		}
	}
	w.name("r")
	w.int(o.Remaining)
	return w.err
}

// writer writes values until one fails.
type writer struct {
	e   *msgpack.Encoder
	err error
}

func (w *writer) do(write func() error) {
	if w.err == nil {
		w.err = write()
	}
}

func (w *writer) nil()           { w.do(w.e.EncodeNil) }
func (w *writer) mapLen(n int)   { w.do(func() error { return w.e.EncodeMapLen(n) }) }
func (w *writer) arrayLen(n int) { w.do(func() error { return w.e.EncodeArrayLen(n) }) }
func (w *writer) name(s string)  { w.do(func() error { return w.e.EncodeString(s) }) }
func (w *writer) int(n int)      { w.do(func() error { return w.e.EncodeInt(int64(n)) }) }

// field writes a field of a struct unless it is empty.
func (w *writer) field(isSet bool, name string, value any) {
	if isSet {
		w.name(name)
		w.do(func() error { return w.e.Encode(value) })
	}
}

func (w *writer) intField(name string, n int) {
	if n != 0 {
		w.name(name)
		w.int(n)
	}
}

func count(fields ...bool) int {
	n := 0
	for _, isSet := range fields {
		if isSet {
			n++
		}
	}
	return n
}

func (w *writer) step(s *StepState) {
	w.mapLen(2 + count(s.Failures != 0, len(s.FailedRuns) > 0, s.LastIncompleteRun != 0, s.Measured != 0, s.RunTimes != 0))
	w.name("t")
	if s.Tasks == nil {
		w.nil()
	} else {
		w.arrayLen(len(s.Tasks))
		for n := range s.Tasks {
			w.task(&s.Tasks[n])
		}
	}
	w.name("r")
	w.int(s.Remaining)
	w.intField("x", s.Failures)
	w.field(len(s.FailedRuns) > 0, "a", s.FailedRuns)
	w.intField("b", s.LastIncompleteRun)
	w.intField("m", s.Measured)
	w.field(s.RunTimes != 0, "u", s.RunTimes)
}

func (w *writer) task(t *Task) {
	w.mapLen(count(t.Done, t.LastRun != 0, t.Failures != 0, len(t.FailedRuns) > 0, t.Checkpoint != "", t.Run != nil))
	w.field(t.Done, "d", true)
	w.intField("l", t.LastRun)
	w.intField("f", t.Failures)
	w.field(len(t.FailedRuns) > 0, "a", t.FailedRuns)
	w.field(t.Checkpoint != "", "c", t.Checkpoint)
	w.field(t.Run != nil, "r", t.Run)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (o *Occurrence) DecodeMsgpack(d *msgpack.Decoder) error {
	return decodeFields(d, func(name string) error {
		switch name {
		case "s":
			return decodeSlice(d, &o.Steps, func(s *StepState) error { return s.decode(d) })
		case "r":
			return decodeInt(d, &o.Remaining)
		}
		return d.Skip()
	})
}

func (s *StepState) decode(d *msgpack.Decoder) error {
	return decodeFields(d, func(name string) error {
		switch name {
		case "t":
			return decodeSlice(d, &s.Tasks, func(t *Task) error { return t.decode(d) })
		case "r":
			return decodeInt(d, &s.Remaining)
		case "x":
			return decodeInt(d, &s.Failures)
		case "a":
			return d.Decode(&s.FailedRuns)
		case "b":
			return decodeInt(d, &s.LastIncompleteRun)
		case "m":
			return decodeInt(d, &s.Measured)
		case "u":
			return d.Decode(&s.RunTimes)
		}
		return d.Skip()
	})
}

func (t *Task) decode(d *msgpack.Decoder) error {
	return decodeFields(d, func(name string) error {
		switch name {
		case "d":
			return d.Decode(&t.Done)
		case "l":
			return decodeInt(d, &t.LastRun)
		case "f":
			return decodeInt(d, &t.Failures)
		case "a":
			return d.Decode(&t.FailedRuns)
		case "c":
			return d.Decode(&t.Checkpoint)
		case "r":
			return d.Decode(&t.Run)
		}
		return d.Skip()
	})
}

// decodeFields calls field with the name of each field of a struct, whose value it has to read.
func decodeFields(d *msgpack.Decoder, field func(name string) error) error {
	n, err := d.DecodeMapLen()
	for ; err == nil && n > 0; n-- {
		var name string
		if name, err = d.DecodeString(); err == nil {
			err = field(name)
		}
	}
	return err
}

// decodeSlice reads an array. Its length was checked against that of the message, of which an
// element takes at least a byte.
func decodeSlice[T any](d *msgpack.Decoder, slice *[]T, element func(*T) error) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n < 0 {
		return err
	}
	*slice = make([]T, n)
	for i := range *slice {
		if err := element(&(*slice)[i]); err != nil {
			return err
		}
	}
	return nil
}

func decodeInt(d *msgpack.Decoder, value *int) error {
	if code, err := d.PeekCode(); err != nil || code == msgpcode.Nil {
		*value = 0
		if err == nil {
			err = d.DecodeNil()
		}
		return err
	}
	n, err := d.DecodeInt()
	*value = n
	return err
}
