package page

import (
	"html/template"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

const filePermission = 0o600

// Page is a page with plots and tables.
type Page struct {
	// Title heads the page.
	Title string
	// Sections follow one another.
	Sections []Section
}

// Section is one part of a page; parts of it that are empty are left out.
type Section struct {
	// Heading heads the section.
	Heading string
	// Text is one paragraph.
	Text string
	// Charts are plots.
	Charts []Drawing
	// Columns name the columns of the table.
	Columns []string
	// Rows are the rows of the table.
	Rows [][]string
	// Folded hides the table until it is asked for.
	Folded bool
}

// Drawing is a plot as an svg element.
type Drawing interface {
	SVG() (string, error)
}

// view is a section with its plots drawn.
type view struct {
	Section
	Plots []template.HTML
}

// Write writes the page as HTML.
func (p *Page) Write(w io.Writer) error {
	var l []view
	for _, s := range p.Sections {
		v := view{Section: s}
		for _, c := range s.Charts {
			t, err := c.SVG()
			if err != nil {
				return err
			}
			v.Plots = append(v.Plots, template.HTML(t))
		}
		l = append(l, v)
	}
	return errors.Wrap(document.Execute(w, struct {
		Title string
		Views []view
	}{p.Title, l}), "write page")
}

// Save writes the page to a file.
func (p *Page) Save(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermission)
	if err != nil {
		return errors.Wrap(err, "open page")
	}
	return errors.CombineErrors(p.Write(f), f.Close())
}

var document = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width">
<title>{{.Title}}</title>
<style>
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 70em; padding: 0 1em; color: #222; }
h1 { font-size: 1.5em; }
h2 { font-size: 1.15em; margin-top: 2em; border-bottom: 1px solid #ccc; }
svg { display: block; max-width: 100%; height: auto; margin: 1em 0; }
.table { overflow-x: auto; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { padding: 0.2em 0.7em; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child { text-align: left; }
summary { cursor: pointer; }
</style>
</head>
<body>
<h1>{{.Title}}</h1>
{{range .Views}}<h2>{{.Heading}}</h2>
{{if .Text}}<p>{{.Text}}</p>
{{end}}{{range .Plots}}{{.}}
{{end}}{{if .Rows}}{{if .Folded}}<details><summary>{{len .Rows}} rows</summary>
{{end}}<div class="table"><table>
<tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>
{{if .Folded}}</details>
{{end}}{{end}}{{end}}</body>
</html>
`))
