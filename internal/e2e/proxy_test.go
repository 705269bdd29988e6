package e2e

import (
	"slices"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/standin/fleet"
)

// proxyAddress returns the address through which a link reaches its target: the given address or, if links of this kind go
// through a proxy, the address of the link's proxy. The first call for a link starts the proxy.
func (fx *fixture) proxyAddress(options fixtureOptions, link fleet.Link, address string) (string, error) {
	if !slices.Contains(options.proxiedLinks, link.Kind) {
		return address, nil
	}
	if link.Kind == fleet.PeerLink {
		link.From = "" // one proxy per target for the processes of all zones
	}
	fx.mutex.Lock()
	defer fx.mutex.Unlock()
	if p := fx.proxies[link]; p != nil {
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
	fx.proxies[link] = p
	return p.Listen, p.Start()
}

// proxy returns the proxy of a link.
func (fx *fixture) proxy(link fleet.Link) *toxiproxy.Proxy {
	fx.t.Helper()
	fx.mutex.Lock()
	defer fx.mutex.Unlock()
	p := fx.proxies[link]
	require.NotNil(fx.t, p, "proxy in %+v", link)
	return p
}

// cutLink closes all connections of a link and refuses new ones until restoreLink.
func (fx *fixture) cutLink(link fleet.Link) {
	fx.t.Helper()
	fx.proxy(link).Stop()
}

// restoreLink accepts connections on the link again.
func (fx *fixture) restoreLink(link fleet.Link) {
	fx.t.Helper()
	require.NoError(fx.t, fx.proxy(link).Start())
}
