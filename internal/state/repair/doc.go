// Package repair decides how a replica group gets back the voters that it has lost.
package repair
