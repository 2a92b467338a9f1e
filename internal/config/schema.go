package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"cobaltflow/deploy"
)

// compileSchema compiles the schema anew for each file that is read, since it is large and needed again at a reload only.
func compileSchema() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(deploy.Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("cobaltflow.schema.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("cobaltflow.schema.json")
}

// movedKeys are top-level keys of deploy/faktory.json, the former separate file of the Faktory front.
var movedKeys = []string{"listen", "password", "queue", "jobtypes", "beat_s", "max_sessions", "kept_jobs"}

// validate checks the content of the project's file against the schema and returns the first error, with its key.
func validate(text []byte) error {
	var top map[string]json.RawMessage
	if json.Unmarshal(text, &top) == nil {
		for _, key := range movedKeys {
			if _, isMoved := top[key]; isMoved {
				return newError(key, `the keys of deploy/faktory.json now stand in the section "faktory" of deploy/cobaltflow.json`)
			}
		}
	}
	schema, err := compileSchema()
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return newError("config", "%v", err)
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(doc); errors.As(err, &invalid) {
		for len(invalid.Causes) > 0 {
			invalid = invalid.Causes[len(invalid.Causes)-1] // of an anyOf the last cause describes the intended form
		}
		path := append([]string(nil), invalid.InstanceLocation...)
		text := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		switch k := invalid.ErrorKind.(type) {
		case *kind.AdditionalProperties:
			path, text = append(path, k.Properties[0]), "unknown key"
		case *kind.Required:
			path, text = append(path, k.Missing[0]), "missing"
		}
		if len(path) == 0 {
			path = []string{"config"}
		}
		return newError(strings.Join(path, "."), "%s", text)
	} else if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}
