// Package strict decodes JSON and rejects unknown fields, duplicate keys and trailing data.
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
// It returns a BadRequest error for unknown fields, duplicate keys, wrong types and trailing data, with the field's
// path where it is known.
func Decode(data []byte, v any) error {
	if err := validate(data); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return toFault(err)
	}
	return nil
}

func toFault(err error) error {
	var e *fault.Error
	if errors.As(err, &e) {
		return e
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fault.New(kind.BadRequest, mismatch.Field, "a JSON %s is not allowed for this field", mismatch.Value)
	}
	return fault.New(kind.BadRequest, "", "%s", err)
}

// validate rejects duplicate keys and data after the JSON value.
func validate(data []byte) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := walkValue(d, ""); err != nil {
		return toFault(err)
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
			return fault.New(kind.BadRequest, field, "duplicate key")
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
