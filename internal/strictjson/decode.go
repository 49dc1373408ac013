package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawType         = reflect.TypeFor[json.RawMessage]()
)

func (d *Document) decode(v hujson.Value, path string, into any) {
	d.value(v, path, reflect.ValueOf(into).Elem())
}

// value decodes v into target, which is settable.
func (d *Document) value(v hujson.Value, path string, target reflect.Value) {
	if _, ok := d.lines[path]; !ok || path == "" {
		d.lines[path] = d.lineAt(v.StartOffset)
	}
	if target.Type() == rawType {
		d.raw(v, path, target)
		return
	}
	if target.Kind() == reflect.Pointer {
		d.pointer(v, path, target)
		return
	}
	if target.Addr().Type().Implements(unmarshalerType) {
		d.unmarshaler(v, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(v, path, target)
	case reflect.Map:
		d.mapping(v, path, target)
	case reflect.Slice:
		d.array(v, path, target)
	default:
		d.scalar(v, path, target)
	}
}

// raw keeps the value as standard JSON without comments or spaces.
func (d *Document) raw(v hujson.Value, path string, target reflect.Value) {
	d.raws[path] = v
	v = v.Clone()
	v.Minimize()
	target.SetBytes(v.Pack())
}

func (d *Document) pointer(v hujson.Value, path string, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	if target.IsNil() {
		target.Set(reflect.New(target.Type().Elem()))
	}
	d.value(v, path, target.Elem())
}

func (d *Document) unmarshaler(v hujson.Value, path string, target reflect.Value) {
	v = v.Clone()
	v.Minimize()
	err := target.Addr().Interface().(json.Unmarshaler).UnmarshalJSON(v.Pack())
	var mistake *ValueError
	switch {
	case errors.As(err, &mistake):
		d.Add(path, mistake.Wrong, mistake.Want)
	case err != nil:
		d.Add(path, err.Error(), "")
	}
}

func (d *Document) object(v hujson.Value, path string, target reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object {…}")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		line := d.lineAt(m.Name.StartOffset)
		index, known := fields[name]
		switch {
		case !known && d.lenient:
		case !known:
			d.addAt(line, at, "unknown field", nearestOf(name, fields))
		case seen[name]:
			d.addAt(line, at, "given twice", "one value")
		default:
			seen[name] = true
			d.lines[at] = line
			d.value(m.Value, at, target.Field(index))
		}
	}
}

func (d *Document) mapping(v hujson.Value, path string, target reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object {…}")
		return
	}
	result := reflect.MakeMapWithSize(target.Type(), len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		key := reflect.ValueOf(name)
		if result.MapIndex(key).IsValid() {
			d.addAt(d.lineAt(m.Name.StartOffset), at, "given twice", "one value")
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.value(m.Value, at, element)
		result.SetMapIndex(key, element)
	}
	target.Set(result)
}

func (d *Document) array(v hujson.Value, path string, target reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array […]")
		return
	}
	result := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		d.value(e, path+"["+strconv.Itoa(i)+"]", result.Index(i))
	}
	target.Set(result)
}

func (d *Document) scalar(v hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	want := wantOf(target)
	if !ok || literal.Kind() == 'n' {
		d.wrongType(v, path, want)
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.wrongType(v, path, want)
	}
}

func (d *Document) wrongType(v hujson.Value, path, want string) {
	d.Add(path, "is "+describe(v), want)
}

// wantOf says in words what a scalar of this type looks like.
func wantOf(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64, reflect.Uint32, reflect.Uint:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}

const maxShown = 40

// describe shows a value, cut short.
func describe(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		text := string(value)
		if len(text) > maxShown {
			text = strings.ToValidUTF8(text[:maxShown], "") + "…"
		}
		return text
	}
	return "nothing"
}

// fieldsByType keeps what fieldsOf has found, since a log has the same few types
// thousands of times.
var fieldsByType sync.Map

// fieldsOf maps JSON names to field numbers. The map is shared.
func fieldsOf(t reflect.Type) map[string]int {
	if known, ok := fieldsByType.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	fieldsByType.Store(t, fields)
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func nearestOf(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	if near := Nearest(name, names); near != "" {
		return fmt.Sprintf("%q?", near)
	}
	return "none of that name"
}
