// Package strict reads JSON that operators write.
package strict

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// Decode reads exactly one JSON value into v.
//
// Unknown fields, duplicate keys, wrong types and trailing data are bad requests that name the field's path.
func Decode(data []byte, v any) error {
	if err := checkKeys(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return typed(err)
	}
	return nil
}

func typed(err error) error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fault.New(kind.BadRequest, mismatch.Field, "a JSON %s does not fit here", mismatch.Value)
	}
	return fault.New(kind.BadRequest, "", "%s", err)
}

// checkKeys walks the tokens of one JSON value and refuses duplicate keys and trailing data.
func checkKeys(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := walkValue(d, ""); err != nil {
		return typed(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fault.New(kind.BadRequest, "", "data after the JSON value at byte %d", d.InputOffset())
	}
	return nil
}

func walkValue(d *json.Decoder, path string) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	switch t {
	case json.Delim('{'):
		return walkObject(d, path)
	case json.Delim('['):
		return walkArray(d, path)
	default:
		return nil
	}
}

func walkObject(d *json.Decoder, path string) error {
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return err
		}
		key, _ := t.(string)
		field := join(path, key)
		if seen[key] {
			return fault.New(kind.BadRequest, field, "the key stands twice")
		}
		seen[key] = true
		if err := walkValue(d, field); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func walkArray(d *json.Decoder, path string) error {
	for i := 0; d.More(); i++ {
		if err := walkValue(d, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
