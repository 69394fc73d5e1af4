// Command settingsdoc prints the settings reference, generated from the doc comments of the
// settings types.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const rootType = "Settings"

const header = `# Settings

One JSON file a daemon. Unknown fields are refused, and every fault is reported with its
field. ` + "`peridotwinch check FILE`" + ` checks a file without starting anything. Addresses are an IP
number and a port. Times are in milliseconds; zero takes the default.

This page is generated from the types by ` + "`make docs`" + ` and checked by a test.

| field | type | meaning |
|---|---|---|
`

// reference builds the table of settings fields.
type reference struct {
	structs map[string]*ast.StructType
	out     strings.Builder
}

func main() {
	dir := "internal/settings"
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	if err := run(os.Stdout, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer, dir string) error {
	r := &reference{structs: make(map[string]*ast.StructType)}
	if err := r.parse(dir); err != nil {
		return err
	}
	r.out.WriteString(header)
	if err := r.addStruct(rootType, ""); err != nil {
		return err
	}
	_, err := io.WriteString(out, r.out.String())
	return err
}

func (r *reference) parse(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "read the settings package")
	}
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), dir+"/"+name, nil, parser.ParseComments)
		if err != nil {
			return errors.Wrap(err, "parse the settings package")
		}
		ast.Inspect(file, r.collect)
	}
	return nil
}

// collect records the struct types that ast.Inspect visits.
func (r *reference) collect(node ast.Node) bool {
	spec, ok := node.(*ast.TypeSpec)
	if !ok {
		return true
	}
	if fields, ok := spec.Type.(*ast.StructType); ok {
		r.structs[spec.Name.Name] = fields
	}
	return false
}

func (r *reference) addStruct(name, prefix string) error {
	definition := r.structs[name]
	if definition == nil {
		return errors.Errorf("no struct type %s in the settings package", name)
	}
	for _, field := range definition.Fields.List {
		if err := r.addField(field, prefix); err != nil {
			return err
		}
	}
	return nil
}

func (r *reference) addField(field *ast.Field, prefix string) error {
	name, ok := jsonName(field)
	if !ok {
		return nil
	}
	path := prefix + name
	element, shown := typeNames(field.Type)
	if r.structs[element] != nil {
		if shown != element {
			path += "[]"
		}
		return r.addStruct(element, path+".")
	}
	fmt.Fprintf(&r.out, "| `%s` | %s | %s |\n", path, shown, description(field))
	return nil
}

func jsonName(field *ast.Field) (string, bool) {
	if field.Tag == nil {
		return "", false
	}
	tag, err := strconv.Unquote(field.Tag.Value)
	if err != nil {
		return "", false
	}
	name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
	return name, name != "" && name != "-"
}

// typeNames returns the name of the type, for a list that of its elements, and the text
// shown in the table.
func typeNames(expr ast.Expr) (element, shown string) {
	switch t := expr.(type) {
	case *ast.Ident:
		return t.Name, t.Name
	case *ast.SelectorExpr:
		return t.Sel.Name, t.Sel.Name
	case *ast.StarExpr:
		return typeNames(t.X)
	case *ast.ArrayType:
		element, _ := typeNames(t.Elt)
		return element, "list of " + element
	}
	return "", "value"
}

// description returns the field's doc comment without the leading field name and verb.
func description(field *ast.Field) string {
	if field.Doc == nil {
		return ""
	}
	text := strings.Join(strings.Fields(field.Doc.Text()), " ")
	text = strings.TrimPrefix(text, field.Names[0].Name+" ")
	for _, verb := range []string{"is ", "are "} {
		text = strings.TrimPrefix(text, verb)
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
