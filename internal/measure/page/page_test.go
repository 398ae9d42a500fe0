package page_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/measure/chart"
	"siskinrun/internal/measure/page"
)

func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	c := chart.NewChart("a", "x", "y")
	is.NoErr(c.HorizontalBars([]string{"<b>one", "two"}, []chart.Series{{Name: "s", Values: []float64{1, 0}}}))
	is.NoErr(c.VerticalLine("limit", 3))
	h := chart.NewChart("b", "x", "y")
	is.NoErr(h.Histogram([]float64{1, 2, 2}))
	var b bytes.Buffer
	p := &page.Page{Title: "t", Sections: []page.Section{{
		Heading: "h", Charts: []page.Chart{c, h}, Columns: []string{"c"}, Rows: [][]string{{"<script>"}},
	}}}
	is.NoErr(p.Write(&b))
	s := b.String()
	is.Equal(strings.Count(s, "<svg"), 2)
	is.True(!strings.Contains(s, "<script"))
	is.True(!strings.Contains(s, "<b>"))
	is.True(!strings.Contains(s, "src="))
	is.True(!strings.Contains(s, "<?xml"))
	d := xml.NewDecoder(strings.NewReader(s[strings.Index(s, "<svg"):]))
	for n := 0; n < 50; n++ {
		if _, err := d.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}
