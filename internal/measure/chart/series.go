package chart

// Series holds one value for each name of a bar chart.
type Series struct {
	// Name is shown in the legend unless it is empty.
	Name string
	// Values are the values in the order of the names.
	Values []float64
}
