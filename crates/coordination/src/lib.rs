//! What many hosts have to agree on, decided from what each has heard.
//!
//! The platform's log orders every change; [`RecordFold`] is its fold and is
//! the same on every host. [`AcceptanceTracker`] tells which records a
//! majority of the shard holders has folded. [`FreshnessTracker`] tells how
//! old this host's evidence is that it has missed no accepted record.
//! [`ShareLedger`] keeps the token buckets of the shards that this host holds
//! and starts them only behind the fence.
//!
//! Nothing here performs I/O; the tasks of the daemon call these structs and
//! pass the clock in.

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
pub use address_ranking::steer;
pub use freshness_tracker::FreshnessTracker;
pub use holder_watch::HolderWatch;
pub use log_record::EditId;
pub use log_record::EditRecord;
pub use log_record::FleetRecord;
pub use log_record::ShardClaim;
pub use log_record::SnapshotPart;
pub use outlier_detector::EjectionReason;
pub use outlier_detector::JudgedMember;
pub use outlier_detector::ServiceJudge;
pub use peer_directory::PeerDirectory;
pub use peer_directory::PeerState;
pub use record_cache::RecordTail;
pub use replay_error::FoldError;
pub use replayed_state::EditOutcome;
pub use replayed_state::RecordFold;
pub use shard_buckets::BucketAmounts;
pub use shard_buckets::ShardOffer;
pub use shard_buckets::ShareLedger;
pub use shard_buckets::TokenDenial;
pub use share_backoff::DryShares;
