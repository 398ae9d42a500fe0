// Package evacuation answers whether an upstream may get work now, given the failure domains that operators have evacuated.
package evacuation
