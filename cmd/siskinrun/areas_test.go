package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// areas lists the folders of internal from the lowest layer to the highest. A folder imports only itself and lower ones.
var areas = []string{
	"base", "state", "data", "config", "jobs", "limits", "fleet", "routing", "standin", "wire", "measure", "product",
}

const modulePrefix = "siskinrun/"

// TestImportsPointDown checks that no area imports a higher one, that pkg imports no area, and that neither imports
// platform, which is for cmd/siskinrun alone.
func TestImportsPointDown(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	walk := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, "../../"))
		seen[areaOf(name)] = true
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range f.Imports {
			p, err := strconv.Unquote(i.Path.Value)
			is.NoErr(err)
			checkImport(t, name, strings.TrimPrefix(p, modulePrefix))
		}
		return nil
	}
	for _, folder := range []string{"internal", "pkg", "platform"} {
		is.NoErr(filepath.WalkDir("../../"+folder, walk))
	}
	for _, a := range areas {
		is.True(seen[a]) // each listed area holds code
	}
}

// areaOf returns the area of a file or package under internal, or else its first folder.
func areaOf(path string) string {
	parts := strings.Split(path, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return parts[1]
	}
	return parts[0]
}

func checkImport(t *testing.T, file, imported string) {
	t.Helper()
	from, to := areaOf(file), areaOf(imported)
	switch {
	case strings.HasPrefix(imported, "platform"):
		if from != "platform" {
			t.Errorf("%s imports %s", file, imported)
		}
	case !strings.HasPrefix(imported, "internal/"):
		return
	case !slices.Contains(areas, to):
		t.Errorf("%s imports %s, which is in none of the areas", file, imported)
	case from == "pkg":
		t.Errorf("%s imports %s", file, imported)
	case strings.HasPrefix(file, "internal/") && slices.Index(areas, from) < slices.Index(areas, to):
		t.Errorf("%s imports %s, which is a higher layer", file, imported)
	}
}
