// Package repair plans the membership changes that replace the lost voters of a replica group.
package repair
