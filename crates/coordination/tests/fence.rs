//! Tests that a host grants tokens of a shard only after the fence delay.

use std::net::SocketAddr;

use crocushoist_coordination::ShardBuckets;
use crocushoist_coordination::ShardOffer;
use crocushoist_coordination::TokenDenial;
use crocushoist_coordination::timing;
use crocushoist_state::ClockTime;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::MICROS_PER_TOKEN;
use crocushoist_state::OfferId;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoist_state::ShardTable;
use crocushoist_state::ShareLimit;

const OWN: IncarnationId = IncarnationId(2);
const EARLIER: IncarnationId = IncarnationId(1);

fn holder(incarnation: IncarnationId) -> ShardHolder {
    let address = SocketAddr::from(([127, 0, 0, incarnation.0 as u8], 7_001));
    ShardHolder {
        incarnation,
        address: HostAddress {
            callers: address,
            peers: address,
            data_centre: "dc1".into(),
        },
        start_offset: 0,
        ended: false,
    }
}

fn shard() -> ShardId {
    ShardId::from_u32(0)
}

/// Table in which the record at offset 7 moved the shard from the earlier holder to this host.
fn moved_table(offer: Option<OfferId>) -> ShardTable {
    let mut table = ShardTable::new(1);
    assert!(table.change_holder(shard(), 0, None, Some(holder(EARLIER)), None, 3));
    assert!(table.change_holder(shard(), 1, Some(EARLIER), Some(holder(OWN)), offer, 7));
    table
}

fn offer(id: OfferId) -> ShardOffer {
    ShardOffer {
        id,
        shard: shard(),
        generation: 2,
        amounts: Vec::new(),
    }
}

#[test]
fn first_holder_is_active_at_once() {
    let mut table = ShardTable::new(1);
    assert!(table.change_holder(shard(), 0, None, Some(holder(OWN)), None, 3));
    let mut buckets = ShardBuckets::new(OWN);
    buckets.reconcile(&table, 0, ClockTime::from_millis(1_000));
    assert!(buckets.is_active(shard()));
}

#[test]
fn later_holder_waits_until_evidence_and_tokens_of_the_earlier_one_have_expired() {
    let table = moved_table(None);
    let mut buckets = ShardBuckets::new(OWN);
    let accepted_at = ClockTime::from_millis(50_000);
    buckets.reconcile(&table, 7, accepted_at.minus(20_000));
    buckets.reconcile(&table, 7, accepted_at.minus(1));
    buckets.reconcile(&table, 8, accepted_at);
    let last_spent =
        accepted_at.plus(timing::MAX_EVIDENCE_AGE_MS + timing::DRAWN_TOKEN_LIFETIME_MS);
    buckets.reconcile(&table, 8, last_spent);
    assert!(
        !buckets.is_active(shard()),
        "the last token of the earlier holder may still be spent at this time"
    );
    buckets.reconcile(&table, 8, last_spent.plus(timing::CLOCK_DRIFT_MARGIN_MS));
    assert!(buckets.is_active(shard()));
    let limit = ShareLimit {
        rate: 1_000,
        burst: MICROS_PER_TOKEN,
    };
    let denied = buckets.grant(
        shard(),
        cranelift_entity::EntityRef::new(0),
        limit,
        last_spent.plus(100),
    );
    assert_eq!(denied, Err(TokenDenial::Empty { wait_millis: 1_000 }));
}

#[test]
fn handover_skips_the_fence_delay_only_if_the_record_names_its_offer() {
    let now = ClockTime::from_millis(1_000);
    for (received, recorded, expected) in [
        (OfferId(5), Some(OfferId(5)), true),
        (OfferId(5), Some(OfferId(6)), false),
        (OfferId(5), None, false),
    ] {
        let mut buckets = ShardBuckets::new(OWN);
        buckets.store_offer(offer(received), now);
        buckets.reconcile(&moved_table(recorded), 8, now);
        assert_eq!(
            buckets.is_active(shard()),
            expected,
            "received offer {received:?}, recorded offer {recorded:?}"
        );
    }
}

#[test]
fn stopped_shard_grants_no_token() {
    let mut table = ShardTable::new(1);
    assert!(table.change_holder(shard(), 0, None, Some(holder(OWN)), None, 3));
    let mut buckets = ShardBuckets::new(OWN);
    let now = ClockTime::from_millis(1_000);
    buckets.reconcile(&table, 4, now);
    assert!(buckets.stop_shard(shard(), OfferId(1), now).is_some());
    let limit = ShareLimit {
        rate: 1_000,
        burst: MICROS_PER_TOKEN,
    };
    let denied = buckets.grant(
        shard(),
        cranelift_entity::EntityRef::new(0),
        limit,
        now.plus(5_000),
    );
    assert_eq!(denied, Err(TokenDenial::NotActive));
}
