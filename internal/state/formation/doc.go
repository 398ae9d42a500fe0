// Package formation records how the control hosts formed their replica groups, which happens once.
package formation
