// Package forecast foresees the online load of a service whose load rises and falls in steps.
package forecast
