package replica

// InjectFault makes a deliberate error, which the invariants must catch.
func (r *Replica) InjectFault(fault string) {
	r.faults = injectedFaults{
		sendEarly:        fault == "send before the disk has it",
		skipLogCheck:     fault == "vote without comparing logs",
		leaseFromArrival: fault == "lease from the arrival of answers",
		commitOldTerm:    fault == "commit an earlier term by counting",
		forgetVote:       fault == "vote twice in a term",
		readUnconfirmed:  fault == "read without asking a quorum",
	}
}

// LimitEntries limits the entries of a message.
func (r *Replica) LimitEntries(entries int) {
	r.maxEntries = entries
}
