// Package burnreport describes the outcomes of calls by team and the burn rates of their error budgets.
package burnreport
