package stage

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// section matches the first section of a template, plain or inverted. Go has no back references, so the end is checked apart.
var (
	sectionStart = regexp.MustCompile(`\{\{([#^])([a-z_.0-9]+)\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in the deploy file's template of settings as the platform's page tells it: values, values as JSON, sections
// for a value that is present, and inverted sections. The template has no lists in sections.
func render(path string, values map[string]any) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	s := string(b)
	for {
		m := sectionStart.FindStringSubmatchIndex(s)
		if m == nil {
			break
		}
		name := s[m[4]:m[5]]
		end := "{{/" + name + "}}"
		n := strings.Index(s[m[1]:], end)
		if n < 0 {
			return "", fmt.Errorf("section %s has no end", name)
		}
		body := s[m[1] : m[1]+n]
		v := lookUp(values, name)
		if (v != nil) != (s[m[2]:m[3]] == "#") {
			body = ""
		}
		if v != nil {
			body = strings.ReplaceAll(body, "{{.}}", fmt.Sprint(v))
		}
		s = s[:m[0]] + body + s[m[1]+n+len(end):]
	}
	return placeholder.ReplaceAllStringFunc(s, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v := lookUp(values, m[1])
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		j, _ := json.Marshal(v)
		return string(j)
	}), nil
}

// lookUp returns the value with a dotted name, or nil.
func lookUp(v any, name string) any {
	for _, k := range strings.Split(name, ".") {
		switch o := v.(type) {
		case map[string]any:
			v = o[k]
		case []any:
			i, err := strconv.Atoi(k)
			if err != nil || i >= len(o) {
				return nil
			}
			v = o[i]
		default:
			return nil
		}
	}
	return v
}
