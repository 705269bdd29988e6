package config

import "carawaypick/pkg/clock"

// Settings is the configuration that one process loads at its start.
type Settings struct {
	Name      string   `json:"name" jsonschema:"required,maxLength=63,pattern=^[a-z0-9][a-z0-9.-]*$" jsonschema_description:"Name of the process, unique in the instance list"`
	Zone      string   `json:"zone" jsonschema:"required,maxLength=63,pattern=^[a-z0-9][a-z0-9.-]*$" jsonschema_description:"Availability zone of the instance"`
	Region    string   `json:"region" jsonschema:"maxLength=63,pattern=^[a-z0-9][a-z0-9.-]*$" jsonschema_description:"Region of the availability zone"`
	Listen    string   `json:"listen" jsonschema:"required,format=address" jsonschema_description:"IP address and port of the HTTP server: callers on entries and operators on all processes"`
	Peer      string   `json:"peer" jsonschema:"required,format=address" jsonschema_description:"IP address and port of the gRPC server for the system's own processes"`
	Seeds     []string `json:"seeds" jsonschema:"format=address" jsonschema_description:"Peer addresses to ask before the instance list is known"`
	SharedKey string   `json:"key" jsonschema:"writeOnly=true,minLength=16,maxLength=256" jsonschema_description:"Key shared by the system's own processes; empty for none"`
	Certs     Certs    `json:"certs" jsonschema_description:"Files for mutual TLS between the system's own processes"`
	Platform  Platform `json:"platform" jsonschema_description:"Base URLs of the platform's services"`
	Backend   Backend  `json:"backend" jsonschema_description:"Backend server of an agent"`
	Limits    Limits   `json:"limits" jsonschema_description:"Limits of the process"`
	Timing    Timing   `json:"timing" jsonschema_description:"Intervals and lifetimes in milliseconds"`
	Log       Log      `json:"log" jsonschema_description:"Log output"`
	Trace     Trace    `json:"trace" jsonschema_description:"Trace output"`
}

// Certs holds the paths of the PEM files for mutual TLS; either all three or none are set.
type Certs struct {
	Cert string `json:"cert" jsonschema:"maxLength=4096" jsonschema_description:"Certificate of the process"`
	Key  string `json:"key" jsonschema:"maxLength=4096" jsonschema_description:"Private key of the certificate"`
	CA   string `json:"ca" jsonschema:"maxLength=4096" jsonschema_description:"Certificates of the authority that signs the certificates of all processes"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Tickets string `json:"tickets" jsonschema:"required,format=uri" jsonschema_description:"Configuration service that publishes change tickets"`
	List    string `json:"list" jsonschema:"required,format=uri" jsonschema_description:"Instance list"`
	Weights string `json:"weights" jsonschema:"format=uri" jsonschema_description:"Weight store"`
}

// Backend describes the backend server beside an agent.
type Backend struct {
	URL     string `json:"url" jsonschema:"format=uri" jsonschema_description:"Base URL of the backend server"`
	Service string `json:"service" jsonschema:"maxLength=63,pattern=^[a-z0-9][a-z0-9.-]*$" jsonschema_description:"Service that the backend server runs"`
	Kind    string `json:"kind" jsonschema:"enum=engine,enum=plain" jsonschema_description:"Protocol of the backend server"`
}

// Limits bounds the resources of one process.
type Limits struct {
	MaxBodyBytes   int `json:"body" jsonschema:"minimum=1024,maximum=67108864" jsonschema_description:"Largest request body in bytes"`
	MaxCalls       int `json:"calls" jsonschema:"minimum=1,maximum=1000000" jsonschema_description:"Maximum number of calls in progress"`
	MaxQueued      int `json:"queue" jsonschema:"minimum=1,maximum=100000" jsonschema_description:"Maximum number of requests waiting at an agent"`
	MaxEventBytes  int `json:"event" jsonschema:"minimum=1024,maximum=4194304" jsonschema_description:"Largest event of a stream in bytes"`
	Memory         int `json:"memory" jsonschema:"minimum=16,maximum=1048576" jsonschema_description:"Memory in MiB that the process holds for callers and other processes at most: connections, requests and messages"`
	MaxConnections int `json:"connections" jsonschema:"minimum=1,maximum=1000000" jsonschema_description:"Maximum number of open HTTP connections"`
}

// Timing holds intervals and lifetimes in milliseconds.
type Timing struct {
	TTL              clock.Span `json:"ttl" jsonschema:"minimum=100,maximum=600000" jsonschema_description:"Time in ms that callers keep a located address"`
	BindingLifetime  clock.Span `json:"life" jsonschema:"minimum=100,maximum=3600000" jsonschema_description:"Lifetime of a binding in ms, at least ttl"`
	OutcomeRetention clock.Span `json:"keep" jsonschema:"minimum=1000,maximum=86400000" jsonschema_description:"Time in ms that an agent keeps the outcome of a request that must not be repeated, more than life"`
	ReportInterval   clock.Span `json:"poll" jsonschema:"minimum=10,maximum=60000" jsonschema_description:"Interval in ms between load reports"`
	GossipInterval   clock.Span `json:"gossip" jsonschema:"minimum=10,maximum=60000" jsonschema_description:"Interval in ms between state exchanges with a peer"`
	SettleDelay      clock.Span `json:"settle" jsonschema:"minimum=0,maximum=600000" jsonschema_description:"Time in ms that a new ticket is held back in case conflicting content with the same number arrives"`
	SealDelay        clock.Span `json:"seal" jsonschema:"minimum=1000,maximum=86400000" jsonschema_description:"Time in ms after a ticket number was first seen during which conflicting content can still replace it"`
	Quarantine       clock.Span `json:"condemn" jsonschema:"minimum=1000,maximum=86400000" jsonschema_description:"Time in ms that request content which crashed backend servers is rejected"`
	StallTimeout     clock.Span `json:"stall" jsonschema:"minimum=10,maximum=600000" jsonschema_description:"Time in ms without progress after which an attempt counts as stalled"`
	DrainPeriod      clock.Span `json:"drain" jsonschema:"minimum=0,maximum=3600000" jsonschema_description:"Minimum time in ms that a process keeps serving during a graceful shutdown, at least ttl"`
}

// Log selects the destination and lowest level of log lines.
type Log struct {
	Level string `json:"level" jsonschema:"enum=debug,enum=info,enum=warn,enum=error" jsonschema_description:"Lowest log level that is written"`
	File  string `json:"file" jsonschema:"maxLength=4096" jsonschema_description:"File to append to; empty for standard error, - for standard output"`
}

// Trace selects the destination and sampling ratio of trace spans.
type Trace struct {
	File  string  `json:"file" jsonschema:"maxLength=4096" jsonschema_description:"File to append to; empty for no traces, - for standard output"`
	Ratio float64 `json:"ratio" jsonschema:"minimum=0,maximum=1" jsonschema_description:"Fraction of the requests without a traceparent that are traced"`
}

// Defaults returns the settings used where no source sets a value.
func Defaults() Settings {
	return Settings{
		Limits: Limits{MaxBodyBytes: 1 << 20, MaxCalls: 4096, MaxQueued: 256, MaxEventBytes: 64 << 10, Memory: 64, MaxConnections: 4096},
		Timing: Timing{
			TTL:              5 * clock.Second,
			BindingLifetime:  10 * clock.Second,
			OutcomeRetention: 10 * clock.Minute,
			ReportInterval:   clock.Second,
			GossipInterval:   clock.Second,
			SettleDelay:      clock.Second,
			SealDelay:        10 * clock.Minute,
			Quarantine:       5 * clock.Minute,
			StallTimeout:     2 * clock.Second,
			DrainPeriod:      30 * clock.Second,
		},
		Log:   Log{Level: "info"},
		Trace: Trace{Ratio: 0.01},
	}
}
