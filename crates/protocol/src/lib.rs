//! Messages to callers, operators and the platform, and messages between hosts.
//!
//! This crate defines separate types for every message and converts them to
//! and from the types of the lower crates with `From` and `TryFrom`. The types
//! of the lower crates are not serialised themselves. Log records and messages
//! between hosts have a compact binary encoding in which fields and variants
//! are identified by their order; other messages are JSON.

pub mod headers;

mod address_response;
mod edit_request;
mod host_listing;
mod log_page;
mod peer_service;
mod protocol_error;
mod refusal_reason;
mod snapshot_codec;
mod status_report;
mod wire_change;
mod wire_holder;
mod wire_record;
mod wire_snapshot;

pub use address_response::AddressResponse;
pub use edit_request::EditFailure;
pub use edit_request::EditRequest;
pub use edit_request::EditResponse;
pub use host_listing::HostListing;
pub use host_listing::ListedHost;
pub use host_listing::ListedState;
pub use log_page::AppendResponse;
pub use log_page::LogPage;
pub use peer_service::ClosedGrant;
pub use peer_service::DecisionResponse;
pub use peer_service::DrawRequest;
pub use peer_service::DrawResponse;
pub use peer_service::ListingResponse;
pub use peer_service::OfferRequest;
pub use peer_service::OfferedAmounts;
pub use peer_service::OutcomeReport;
pub use peer_service::PeerService;
pub use peer_service::PeerServiceClient;
pub use peer_service::PullRequest;
pub use peer_service::PullResponse;
pub use peer_service::SnapshotResponse;
pub use peer_service::WireDecision;
pub use peer_service::WireInstanceOutcomes;
pub use protocol_error::ProtocolError;
pub use refusal_reason::RefusalReason;
pub use snapshot_codec::decode_snapshot;
pub use snapshot_codec::encode_snapshot;
pub use snapshot_codec::join_snapshot;
pub use snapshot_codec::split_snapshot;
pub use status_report::ConfigReport;
pub use status_report::EjectionReport;
pub use status_report::ExceptionReport;
pub use status_report::HostReport;
pub use status_report::InstanceReport;
pub use status_report::ReasonCount;
pub use status_report::ShardReport;
pub use status_report::StatusReport;
pub use wire_change::WireChange;
pub use wire_change::WireScope;
pub use wire_holder::WireHolder;
pub use wire_record::decode_record;
pub use wire_record::encode_record;
