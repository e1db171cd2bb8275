//! State on which the hosts of a fleet agree, and the rules that keep it consistent.
//!
//! The platform's log orders every change. [`ReplayedState`] is the state that a
//! host builds by replaying that log; it is the same on every host at the same
//! offset. [`AcceptanceTracker`] computes which records a majority of the shard
//! holders has replayed. [`FreshnessTracker`] computes how old this host's
//! evidence is that it has missed no accepted record. [`ShardBuckets`] holds the
//! token buckets of this host's shards and makes a shard usable only after the
//! fence delay, so that the earlier holder has stopped spending from it.
//!
//! Nothing here performs I/O. The daemon's tasks call these types and pass the
//! current time in.

mod acceptance_tracker;
mod address_ranking;
mod freshness_tracker;
mod holder_watch;
mod log_record;
mod outlier_detector;
mod peer_directory;
mod record_cache;
mod replay_error;
mod replayed_state;
mod shard_buckets;
mod share_backoff;

pub mod timing;

pub use acceptance_tracker::AcceptanceTracker;
pub use address_ranking::rank_addresses;
pub use freshness_tracker::FreshnessTracker;
pub use holder_watch::HolderWatch;
pub use log_record::EditId;
pub use log_record::EditRecord;
pub use log_record::LogRecord;
pub use log_record::ShardClaim;
pub use log_record::SnapshotPart;
pub use outlier_detector::EjectionReason;
pub use outlier_detector::OutlierDetector;
pub use outlier_detector::ServiceInstance;
pub use peer_directory::PeerDirectory;
pub use peer_directory::PeerState;
pub use record_cache::RecordCache;
pub use replay_error::ReplayError;
pub use replayed_state::EditOutcome;
pub use replayed_state::ReplayedState;
pub use shard_buckets::BucketAmounts;
pub use shard_buckets::ShardBuckets;
pub use shard_buckets::ShardOffer;
pub use shard_buckets::TokenDenial;
pub use share_backoff::ShareBackoff;
