//! Network connections: HTTP with callers, upstreams and the platform, and RPC between hosts.
//!
//! Each connection runs as one task of the single-threaded runtime. Outgoing
//! connections bind to the host's own address, so that the remote side can
//! tell hosts apart by IP address. This crate never decides whether to retry:
//! a failed request reports whether any of its bytes may have left the host,
//! and the code that sent it decides.

mod bounded_stream;
mod byte_meter;
mod client_account;
mod client_end;
mod client_entrance;
mod client_limits;
mod client_register;
mod client_stream;
mod connect;
mod handed_body;
mod held_body;
mod hop_headers;
mod http_client;
mod http_server;
mod metered_stream;
mod peer_connection;
mod platform_client;
mod process_signal;
mod request_body;
mod response_body;
mod send_progress;
mod server_connection;
mod server_stop;
mod socket_stream;
mod stop_signal;
mod transport_error;
mod upstream_connection;
mod upstream_pool;

pub use crocushoist_clients::MemoryUse;
pub use crocushoist_clients::OWN_BYTES;

pub use byte_meter::ByteMeter;
pub use client_account::ClientAccount;
pub use client_account::HeldMemory;
pub use client_end::ClientEnd;
pub use client_entrance::ClientEntrance;
pub use client_limits::ClientLimits;
pub use client_register::ClientRegister;
pub use connect::connect_from;
pub use connect::listen_on;
pub use held_body::BodyError;
pub use held_body::HeldBody;
pub use hop_headers::without_hop_by_hop_headers;
pub use http_client::HttpClient;
pub use http_client::HttpResponse;
pub use http_server::serve_clients;
pub use http_server::serve_http;
pub use metered_stream::MeteredStream;
pub use peer_connection::PeerConnection;
pub use peer_connection::serve_peers;
pub use platform_client::HostListClient;
pub use platform_client::LogClient;
pub use process_signal::ProcessSignal;
pub use request_body::RequestBody;
pub use response_body::BodyEnd;
pub use response_body::ResponseBody;
pub use server_stop::ServerStop;
pub use stop_signal::RaisedFuture;
pub use stop_signal::StopSignal;
pub use transport_error::TransportError;
pub use upstream_connection::AttemptFailure;
pub use upstream_connection::UpstreamConnection;
pub use upstream_pool::UpstreamPool;
