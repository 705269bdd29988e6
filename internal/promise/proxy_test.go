package promise

import (
	"slices"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin/fleet"
)

// wire puts a proxy into a link where its kind is proxied.
func (b *bench) wire(s setup, link fleet.Link, address string) (string, error) {
	if !slices.Contains(s.proxied, link.Kind) {
		return address, nil
	}
	if link.Kind == fleet.PeerLink {
		link.From = ""
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if p := b.proxies[link]; p != nil {
		return p.Listen, nil
	}
	listen, err := fleet.FreeAddress()
	if err != nil {
		return "", err
	}
	p := toxiproxy.NewProxy(&toxiproxy.ApiServer{Metrics: toxiproxy.NewMetricsContainer(nil)})
	p.Name = link.Kind + " " + link.From + " " + link.To
	p.Listen = listen
	p.Upstream = address
	b.proxies[link] = p
	return p.Listen, p.Start()
}

// proxy returns the proxy in a link.
func (b *bench) proxy(link fleet.Link) *toxiproxy.Proxy {
	b.t.Helper()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p := b.proxies[link]
	require.NotNil(b.t, p, "proxy in %+v", link)
	return p
}

// cut closes all connections of a link and refuses new ones until mend.
func (b *bench) cut(link fleet.Link) {
	b.t.Helper()
	b.proxy(link).Stop()
}

// mend lets a link work again.
func (b *bench) mend(link fleet.Link) {
	b.t.Helper()
	require.NoError(b.t, b.proxy(link).Start())
}
