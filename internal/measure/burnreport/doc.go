// Package burnreport describes how teams were served and how fast their error budgets burn.
package burnreport
