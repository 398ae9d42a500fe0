package chart

// Series are the values of one kind, one for each name of a plot.
type Series struct {
	// Name is shown in the legend, unless empty.
	Name string
	// Values are the values in the order of the names.
	Values []float64
}
