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

// areas lists the folders of internal, from the one that imports nothing of the others upwards.
var areas = []string{
	"base", "state", "data", "config", "jobs", "limits", "fleet", "routing", "standin", "wire", "measure", "product",
}

const module = "siskinrun/"

// TestImportsPointDown holds that no area imports one above it, and that only the root program imports the platform.
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
			checkArrow(t, name, strings.TrimPrefix(p, module))
		}
		return nil
	}
	for _, folder := range []string{"internal", "pkg", "platform"} {
		is.NoErr(filepath.WalkDir("../../"+folder, walk))
	}
	for _, a := range areas {
		is.True(seen[a]) // each area that is listed holds code
	}
}

// areaOf returns the area of a file or package below internal, else its first folder.
func areaOf(path string) string {
	parts := strings.Split(path, "/")
	if parts[0] == "internal" && len(parts) > 1 {
		return parts[1]
	}
	return parts[0]
}

func checkArrow(t *testing.T, file, imported string) {
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
		t.Errorf("%s imports %s, which is in no listed area", file, imported)
	case from == "pkg":
		t.Errorf("%s imports %s", file, imported)
	case strings.HasPrefix(file, "internal/") && slices.Index(areas, from) < slices.Index(areas, to):
		t.Errorf("%s imports %s, which lies above it", file, imported)
	}
}
