package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
)

// tag matches a placeholder or the begin or end of a section of a settings template.
var tag = regexp.MustCompile(`\{\{([#^/]?)([^{}|]*)(\|json)?\}\}`)

// render fills in a template of the deploy file as the page DEPLOY describes it.
func render(template string, fields map[string]any) string {
	out, _ := renderPart(template, []any{fields}, "", "")
	return out
}

// renderPart renders up to the end of the template. scopes are the entries of the sections around it,
// the outermost first.
func renderPart(text string, scopes []any, key, comma string) (string, string) {
	var out strings.Builder
	for {
		at := tag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String(), ""
		}
		out.WriteString(text[:at[0]])
		kind, name, isJSON := text[at[2]:at[3]], text[at[4]:at[5]], at[6] >= 0
		text = text[at[1]:]
		switch {
		case kind == "" && name == ",":
			out.WriteString(comma)
		case kind == "" && name == "@":
			out.WriteString(key)
		case kind == "":
			out.WriteString(format(lookup(scopes, name), isJSON))
		default:
			end := strings.Index(text, "{{/"+name+"}}")
			body := text[:end]
			text = text[end+len("{{/"+name+"}}"):]
			out.WriteString(renderSection(body, kind, lookup(scopes, name), scopes))
		}
	}
}

func renderSection(body, kind string, value any, scopes []any) string {
	isSet := value != nil && value != false
	if kind == "^" {
		if isSet {
			return ""
		}
		out, _ := renderPart(body, scopes, "", "")
		return out
	}
	var out strings.Builder
	add := func(entry any, key string, isLast bool) {
		comma := ","
		if isLast {
			comma = ""
		}
		text, _ := renderPart(body, append(append([]any{}, scopes...), entry), key, comma)
		out.WriteString(text)
	}
	switch entries := value.(type) {
	case []any:
		for i, entry := range entries {
			add(entry, strconv.Itoa(i), i == len(entries)-1)
		}
	case map[string]any:
		keys := make([]string, 0, len(entries))
		for key := range entries {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for i, key := range keys {
			add(entries[key], key, i == len(keys)-1)
		}
	default:
		if isSet {
			add(value, "", true)
		}
	}
	return out.String()
}

// lookup resolves a name in the innermost scope that has it.
func lookup(scopes []any, name string) any {
	if name == "." {
		return scopes[len(scopes)-1]
	}
	path := strings.Split(name, ".")
	for i := len(scopes) - 1; i >= 0; i-- {
		if value, ok := resolve(scopes[i], path); ok {
			return value
		}
	}
	return nil
}

func resolve(value any, path []string) (any, bool) {
	for _, part := range path {
		switch v := value.(type) {
		case map[string]any:
			next, ok := v[part]
			if !ok {
				return nil, false
			}
			value = next
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i < 0 || i >= len(v) {
				return nil, false
			}
			value = v[i]
		default:
			return nil, false
		}
	}
	return value, true
}

func format(value any, isJSON bool) string {
	if isJSON {
		raw, _ := json.Marshal(value)
		return string(raw)
	}
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, len(v))
		for i := range v {
			parts[i] = format(v[i], false)
		}
		return strings.Join(parts, ",")
	case map[string]any:
		raw, _ := json.Marshal(v)
		return string(raw)
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return fmt.Sprint(value)
}
