package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"cobaltflow/deploy"
)

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(deploy.Schema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("cobaltflow.schema.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("cobaltflow.schema.json")
})

// oldKeys are those that stood at the top of deploy/faktory.json, when the front had a file of its own.
var movedKeys = []string{"listen", "password", "queue", "jobtypes", "beat_s", "max_sessions", "kept_jobs"}

// validate holds a text of the project's own file to the schema. The first fault is given, by its key.
func validate(text []byte) error {
	var top map[string]json.RawMessage
	if json.Unmarshal(text, &top) == nil {
		for _, key := range movedKeys {
			if _, old := top[key]; old {
				return newError(key, `the keys of deploy/faktory.json now stand in the section "faktory" of deploy/cobaltflow.json`)
			}
		}
	}
	schema, err := compiledSchema()
	if err != nil {
		return err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return newError("config", "%v", err)
	}
	var bad *jsonschema.ValidationError
	if err := schema.Validate(doc); errors.As(err, &bad) {
		for len(bad.Causes) > 0 {
			bad = bad.Causes[len(bad.Causes)-1] // of an anyOf the last speaks of the form that was meant
		}
		place := append([]string(nil), bad.InstanceLocation...)
		text := bad.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		switch k := bad.ErrorKind.(type) {
		case *kind.AdditionalProperties:
			place, text = append(place, k.Properties[0]), "no such key is known"
		case *kind.Required:
			place, text = append(place, k.Missing[0]), "missing"
		}
		if len(place) == 0 {
			place = []string{"config"}
		}
		return newError(strings.Join(place, "."), "%s", text)
	} else if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}
