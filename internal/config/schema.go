package config

import (
	"encoding/json"
	"reflect"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"
)

// schema returns the JSON schema of Settings; the loader checks each value against it.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	r := jsonschema.Reflector{
		Anonymous:                  true,
		DoNotReference:             true,
		ExpandedStruct:             true,
		RequiredFromJSONSchemaTags: true,
	}
	s := r.Reflect(&Settings{})
	s.Title = "carawaypick settings"
	defaults := Defaults()
	for _, f := range fields(&defaults, s) {
		if !f.value.IsZero() {
			f.property.Default = f.value.Interface()
		}
	}
	return s
})

// Schema returns the JSON schema of a settings file.
func Schema() (content []byte, err error) {
	content, err = json.MarshalIndent(schema(), "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "write settings schema")
	}
	return append(content, '\n'), nil
}

// field is one setting with a value of its own, as opposed to a section.
type field struct {
	path     string
	value    reflect.Value
	property *jsonschema.Schema
	required bool
}

// fields returns the fields of s in the order of the schema.
func fields(s *Settings, properties *jsonschema.Schema) []field {
	return sectionFields("", reflect.ValueOf(s).Elem(), properties)
}

func sectionFields(prefix string, section reflect.Value, s *jsonschema.Schema) []field {
	var found []field
	for i := range section.NumField() {
		name := section.Type().Field(i).Tag.Get("json")
		property, _ := s.Properties.Get(name)
		if property.Properties != nil {
			found = append(found, sectionFields(prefix+name+".", section.Field(i), property)...)
			continue
		}
		f := field{path: prefix + name, value: section.Field(i), property: property}
		for _, r := range s.Required {
			f.required = f.required || r == name
		}
		found = append(found, f)
	}
	return found
}

// Description describes one field.
type Description struct {
	Field   string `json:"field"`
	Text    string `json:"text"` // meaning of the field, with its unit
	Allowed string `json:"allowed"`
	Default string `json:"default"`
}

// Describe returns a description of every field in the order of the schema.
func Describe() []Description {
	defaults := Defaults()
	var all []Description
	for _, f := range fields(&defaults, schema()) {
		all = append(all, Description{Field: f.path, Text: f.property.Description, Allowed: f.allowed(), Default: f.valueText()})
	}
	return all
}
