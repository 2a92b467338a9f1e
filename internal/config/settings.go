package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cobaltflow/internal/wire"
)

// readSettings flattens the settings object into the path=value form of the simulator and parses it with package wire.
func (c *Config) readSettings(text json.RawMessage) error {
	if len(text) == 0 || string(text) == "null" {
		return newError("settings", "missing")
	}
	var tree any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&tree); err != nil {
		return newError("settings", "%v", err)
	}
	root, ok := tree.(map[string]any)
	if !ok {
		return newError("settings", "not an object")
	}
	var fields []string
	flatten("", root, &fields)
	s, err := wire.ParseSettings(fields)
	if err != nil {
		// The error text is "setting PATH: REASON".
		path, text, _ := strings.Cut(strings.TrimPrefix(err.Error(), "setting "), ": ")
		return newError("settings."+path, "%s", text)
	}
	c.Settings, c.DiscoveryIsLocal = s, root["discovery"] == "push"
	c.Names.Zones, c.Names.Kinds = stringList(root["dcs"]), stringList(root["kinds"])
	if err := c.readNames(root); err != nil {
		return err
	}
	for i, class := range s.Classes {
		if class.Deadline <= 0 {
			return newError(fmt.Sprintf("settings.classes.%d.deadlineUs", i), "missing or not above 0")
		}
	}
	return c.readConnIdle(root)
}

// readNames reads the names of tenants and classes.
func (c *Config) readNames(root map[string]any) error {
	var tenants []string
	list, _ := root["tenants"].([]any)
	for _, item := range list {
		tenants = append(tenants, itemName(item))
	}
	if err := c.Names.setTenants(tenants, "settings.tenants"); err != nil {
		return err
	}
	classes, _ := root["classes"].([]any)
	for i, item := range classes {
		name := itemName(item)
		if name == "" {
			return newError(fmt.Sprintf("settings.classes.%d.name", i), "missing")
		}
		if c.Names.Class(name) >= 0 {
			return newError(fmt.Sprintf("settings.classes.%d.name", i), "duplicate name %q", name)
		}
		c.Names.Classes = append(c.Names.Classes, name)
	}
	if len(c.Names.Classes) == 0 {
		return newError("settings.classes", "missing or empty")
	}
	return nil
}

// readConnIdle reads how long a worker keeps an idle connection open; default 60 s.
func (c *Config) readConnIdle(root map[string]any) error {
	c.Names.ConnIdleTimeout = defaultConnIdleTimeout
	if caps, ok := root["caps"].(map[string]any); ok {
		if n, ok := caps["connIdleUs"].(json.Number); ok {
			v, err := n.Int64()
			if err != nil || v <= 0 {
				return newError("settings.caps.connIdleUs", "%q is not a positive number of microseconds", n)
			}
			c.Names.ConnIdleTimeout = v
		}
	}
	return nil
}

// itemName returns the name of an item in a list of objects.
func itemName(item any) string {
	m, _ := item.(map[string]any)
	name, _ := m["name"].(string)
	return name
}

// stringList formats the items of a list.
func stringList(v any) (out []string) {
	list, _ := v.([]any)
	for _, item := range list {
		out = append(out, fmt.Sprint(item))
	}
	return out
}

// flatten appends the values below v to out as path=value. A list of scalars is joined with commas; a list of objects is
// preceded by its length, path.count.
func flatten(path string, v any, out *[]string) {
	switch v := v.(type) {
	case map[string]any:
		for key, item := range v {
			if path != "" {
				key = path + "." + key
			}
			flatten(key, item, out)
		}
	case []any:
		hasObjects := slices.ContainsFunc(v, func(x any) bool { _, ok := x.(map[string]any); return ok })
		if !hasObjects {
			*out = append(*out, path+"="+strings.Join(stringList(v), ","))
			return
		}
		*out = append(*out, path+".count="+strconv.Itoa(len(v)))
		for i, item := range v {
			flatten(path+"."+strconv.Itoa(i), item, out)
		}
	case nil:
		*out = append(*out, path+"=-")
	default:
		*out = append(*out, path+"="+fmt.Sprint(v))
	}
}
