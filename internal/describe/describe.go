// Package describe embeds the descriptions of the program's interfaces, OpenAPI for the HTTP front and AsyncAPI for
// callbacks and Faktory messages, and validates such descriptions. The command prints and checks them.
package describe

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
)

// The embedded descriptions, in YAML.
var (
	// OpenAPI describes the HTTP front.
	//go:embed openapi.yaml
	OpenAPI []byte
	// AsyncAPI describes the callbacks and the Faktory messages.
	//go:embed asyncapi.yaml
	AsyncAPI []byte
	//go:embed asyncapi.schema.json
	asyncSchema []byte
)

// Validate validates a description in YAML or JSON. It returns the kind and version, such as "OpenAPI 3.0.3".
func Validate(text []byte) (kind string, err error) {
	var head struct {
		OpenAPI  string `yaml:"openapi"`
		AsyncAPI string `yaml:"asyncapi"`
	}
	if err := yaml.Unmarshal(text, &head); err != nil {
		return "", err
	}
	switch {
	case head.OpenAPI != "":
		return "OpenAPI " + head.OpenAPI, checkOpenAPI(text)
	case head.AsyncAPI != "":
		return "AsyncAPI " + head.AsyncAPI, checkAsyncAPI(text)
	}
	return "", errors.New("neither an openapi nor an asyncapi key at the top level")
}

func checkOpenAPI(text []byte) error {
	doc, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		return err
	}
	return doc.Validate(context.Background())
}

// checkAsyncAPI validates the document against the AsyncAPI schema, resolves its references and compiles the schemas of
// its messages.
func checkAsyncAPI(text []byte) error {
	doc, err := decode(text)
	if err != nil {
		return err
	}
	schema, err := compileSchema(asyncSchema, "")
	if err != nil {
		return err
	}
	if err := schema.Validate(doc); err != nil {
		return err
	}
	if err := checkReferences(doc, doc, "#"); err != nil {
		return err
	}
	messages, _ := resolve(doc, "#/components/messages").(map[string]any)
	for name := range messages {
		if _, err := PayloadSchema(text, name); err != nil {
			return fmt.Errorf("components.messages.%s: %w", name, err)
		}
	}
	return nil
}

// PayloadSchema compiles the schema of a message's payload. It returns nil if the message has none.
func PayloadSchema(text []byte, message string) (*jsonschema.Schema, error) {
	doc, err := decode(text)
	if err != nil {
		return nil, err
	}
	ref := "#/components/messages/" + message + "/payload"
	if resolve(doc, ref) == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	return compileSchema(encoded, ref)
}

// compileSchema compiles the schema at a reference within a JSON document; empty: the whole document.
func compileSchema(text []byte, ref string) (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("document.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("document.json" + ref)
}

// decode decodes YAML or JSON into the form that package jsonschema expects.
func decode(text []byte) (any, error) {
	var doc any
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
}

// resolve returns the node that a local reference denotes, or nil.
func resolve(doc any, ref string) any {
	for part := range strings.SplitSeq(strings.TrimPrefix(ref, "#/"), "/") {
		m, ok := doc.(map[string]any)
		if !ok {
			return nil
		}
		doc = m[strings.NewReplacer("~1", "/", "~0", "~").Replace(part)]
	}
	return doc
}

// checkReferences returns an error if a local reference below node can't be resolved. path is the path of node.
func checkReferences(doc, node any, path string) error {
	switch node := node.(type) {
	case map[string]any:
		if ref, ok := node["$ref"].(string); ok && resolve(doc, ref) == nil {
			return fmt.Errorf("%s: unresolved reference %s", path, ref)
		}
		for key, item := range node {
			if err := checkReferences(doc, item, path+"/"+key); err != nil {
				return err
			}
		}
	case []any:
		for i, item := range node {
			if err := checkReferences(doc, item, fmt.Sprintf("%s/%d", path, i)); err != nil {
				return err
			}
		}
	}
	return nil
}
