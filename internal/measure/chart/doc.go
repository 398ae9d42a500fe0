// Package chart draws plots as SVG that stands alone.
package chart
