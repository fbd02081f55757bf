package annotate

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"

	"github.com/pkg/errors"
)

// readDocs returns the doc comment of each field of a struct type that is
// declared in the Go files of a folder.
func readDocs(dir, typeName string) (map[string]string, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, errors.Wrap(err, "annotate")
	}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return nil, errors.Wrap(err, "annotate")
		}
		if found := findStruct(file, typeName); found != nil {
			return fieldComments(found), nil
		}
	}
	return nil, errors.Errorf("annotate: %s has no struct %s", dir, typeName)
}

func findStruct(file *ast.File, name string) *ast.StructType {
	object := file.Scope.Lookup(name)
	if object == nil {
		return nil
	}
	spec, ok := object.Decl.(*ast.TypeSpec)
	if !ok {
		return nil
	}
	found, _ := spec.Type.(*ast.StructType) // nil if it is not a struct
	return found
}

// fieldComments returns the comment of each field, by name. A field without a comment
// gets the comment of the nearest field above that has one.
func fieldComments(s *ast.StructType) map[string]string {
	docs := map[string]string{}
	last := ""
	for _, field := range s.Fields.List {
		if field.Doc != nil {
			last = field.Doc.Text()
		}
		for _, name := range field.Names {
			docs[name.Name] = last
		}
	}
	return docs
}
