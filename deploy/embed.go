// Package deploy holds the files of the deployment that the program carries within itself: the schema of its
// own configuration, and a filled-in example with which it runs on a fresh machine.
package deploy

import _ "embed"

var (
	// Schema is the JSON Schema (draft 2020-12) of cobaltflow.json.
	//
	//go:embed cobaltflow.schema.json
	Schema []byte
	// Example is a filled-in cobaltflow.json.
	//
	//go:embed example.json
	Example []byte
)
