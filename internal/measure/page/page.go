package page

import (
	"html/template"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

const filePermission = 0o600

// Page is an HTML page with charts and tables.
type Page struct {
	// Title is the title of the page.
	Title string
	// Sections are the sections in order.
	Sections []Section
}

// Section is one section of a page; its empty parts are omitted.
type Section struct {
	// Heading is the heading of the section.
	Heading string
	// Text is an introductory paragraph.
	Text string
	// Charts are the charts of the section.
	Charts []Chart
	// Columns name the columns of the table.
	Columns []string
	// Rows are the rows of the table.
	Rows [][]string
	// Collapsed hides the table until the reader expands it.
	Collapsed bool
}

// Chart renders a chart as an svg element.
type Chart interface {
	SVG() (string, error)
}

// renderedSection is a section with its charts rendered.
type renderedSection struct {
	Section
	Plots []template.HTML
}

// Write writes the page as HTML.
func (p *Page) Write(w io.Writer) error {
	var l []renderedSection
	for _, s := range p.Sections {
		v := renderedSection{Section: s}
		for _, c := range s.Charts {
			t, err := c.SVG()
			if err != nil {
				return err
			}
			v.Plots = append(v.Plots, template.HTML(t))
		}
		l = append(l, v)
	}
	return errors.Wrap(pageTemplate.Execute(w, struct {
		Title    string
		Sections []renderedSection
	}{p.Title, l}), "write page")
}

// Save writes the page to a file.
func (p *Page) Save(path string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePermission)
	if err != nil {
		return errors.Wrap(err, "create page file")
	}
	return errors.CombineErrors(p.Write(f), f.Close())
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
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
{{range .Sections}}<h2>{{.Heading}}</h2>
{{if .Text}}<p>{{.Text}}</p>
{{end}}{{range .Plots}}{{.}}
{{end}}{{if .Rows}}{{if .Collapsed}}<details><summary>{{len .Rows}} rows</summary>
{{end}}<div class="table"><table>
<tr>{{range .Columns}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table></div>
{{if .Collapsed}}</details>
{{end}}{{end}}{{end}}</body>
</html>
`))
