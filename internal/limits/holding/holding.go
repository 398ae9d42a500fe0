package holding

// Holding is the state of one grant as its holder tells the owner.
type Holding struct {
	// Grant is the number that the owner gave to the grant.
	Grant uint64
	// Left is the number of units that may still be spent.
	Left int64
	// Returned is the number of units handed back so far.
	Returned int64
}
