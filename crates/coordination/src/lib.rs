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
mod dry_shares;
mod fleet_record;
mod fold_error;
mod freshness_tracker;
mod holder_watch;
mod peer_directory;
mod record_fold;
mod record_tail;
mod service_judge;
mod share_ledger;
mod steering_plan;

pub mod timing;

pub use acceptance_tracker::AcceptanceTracker;
pub use dry_shares::DryShares;
pub use fleet_record::EditId;
pub use fleet_record::EditRecord;
pub use fleet_record::FleetRecord;
pub use fleet_record::ShardClaim;
pub use fleet_record::SnapshotPart;
pub use fold_error::FoldError;
pub use freshness_tracker::FreshnessTracker;
pub use holder_watch::HolderWatch;
pub use peer_directory::PeerDirectory;
pub use peer_directory::PeerState;
pub use record_fold::EditOutcome;
pub use record_fold::RecordFold;
pub use record_tail::RecordTail;
pub use service_judge::EjectionReason;
pub use service_judge::JudgedMember;
pub use service_judge::ServiceJudge;
pub use share_ledger::BucketAmounts;
pub use share_ledger::ShardOffer;
pub use share_ledger::ShareLedger;
pub use share_ledger::TokenDenial;
pub use steering_plan::steer;
