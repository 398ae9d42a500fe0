package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// tag is a placeholder of a template, or the begin or end of a section.
var tag = regexp.MustCompile(`\{\{([#^/]?)([^}]*)\}\}`)

// render fills a template in as the platform does, from the fields of the settings of a process.
func render(template string, fields map[string]any) (string, error) {
	out, rest, err := renderUntil(template, "", fields, nil)
	if err == nil && rest != "" {
		err = fmt.Errorf("text is left after the template: %.40q", rest)
	}
	return out, err
}

// renderUntil renders up to the end of the named section and returns what follows it.
func renderUntil(text, section string, fields map[string]any, current any) (out, rest string, err error) {
	var b strings.Builder
	for {
		m := tag.FindStringSubmatchIndex(text)
		if m == nil {
			if section != "" {
				return "", "", fmt.Errorf("section %s has no end", section)
			}
			b.WriteString(text)
			return b.String(), "", nil
		}
		b.WriteString(text[:m[0]])
		kind, name := text[m[2]:m[3]], text[m[4]:m[5]]
		text = text[m[1]:]
		switch kind {
		case "/":
			if name != section {
				return "", "", fmt.Errorf("end of %s in section %s", name, section)
			}
			return b.String(), text, nil
		case "":
			b.WriteString(value(name, fields, current))
		default:
			v, ok := lookUp(name, fields)
			inner, after, err := renderUntil(text, name, fields, v)
			if err != nil {
				return "", "", err
			}
			if ok == (kind == "#") {
				b.WriteString(inner)
			}
			text = after
		}
	}
}

// value returns the text of a placeholder.
func value(name string, fields map[string]any, current any) string {
	name, asJSON := strings.CutSuffix(name, "|json")
	v := current
	if name != "." {
		v, _ = lookUp(name, fields)
	}
	if s, ok := v.(string); ok && !asJSON {
		return s
	}
	b, err := json.Marshal(v)
	if err != nil || v == nil && !asJSON {
		return ""
	}
	return string(b)
}

// lookUp returns the field at a path and whether it has a value that isn't false.
func lookUp(path string, fields map[string]any) (any, bool) {
	var v any = fields
	for p := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[p]
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i >= len(t) {
				return nil, false
			}
			v = t[i]
		default:
			return nil, false
		}
	}
	return v, v != nil && v != false
}
