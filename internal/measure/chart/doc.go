// Package chart draws charts as self-contained SVG.
package chart
