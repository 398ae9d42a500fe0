package router_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/router"
)

func TestPath(t *testing.T) {
	m := router.NewRouter(&configuration.Configuration{Routes: map[string]route.Route{
		"desk":    {Prefix: "/order-desk/"},
		"invoice": {Prefix: "/order-desk/invoices"},
		"model":   {Model: "bend-assist"},
	}})
	for _, c := range []struct{ path, want string }{
		{"/order-desk", ""},
		{"/order-desk/", "desk"},
		{"/order-desk/drafts/7", "desk"},
		{"/order-desk/invoices", "invoice"},
		{"/order-desk/invoices/7", "invoice"},
		{"/order-desk/invoices-old", "desk"},
		{"/order-desks", ""},
		{"/", ""},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			n, _, ok := m.MatchPath("", c.path)
			is.Equal(n, c.want)
			is.Equal(ok, c.want != "")
		})
	}
	is := is.New(t)
	n, _, ok := m.MatchModel("bend-assist")
	is.True(ok)
	is.Equal(n, "model")
	is.Equal(m.Models(), []string{"bend-assist"})
}
