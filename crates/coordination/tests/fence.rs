//! A shard is spent from only behind the fence.

use std::net::SocketAddr;

use crocushoist_coordination::ShardOffer;
use crocushoist_coordination::ShareLedger;
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

/// Table in which the earlier holder was followed by this host with the record at offset 7.
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
fn first_holder_starts_at_once() {
    let mut table = ShardTable::new(1);
    assert!(table.change_holder(shard(), 0, None, Some(holder(OWN)), None, 3));
    let mut ledger = ShareLedger::new(OWN);
    ledger.reconcile(&table, 0, ClockTime::from_millis(1_000));
    assert!(ledger.is_active(shard()));
}

#[test]
fn later_holder_waits_for_evidence_and_tokens_of_the_earlier_one_to_expire() {
    let table = moved_table(None);
    let mut ledger = ShareLedger::new(OWN);
    let accepted_at = ClockTime::from_millis(50_000);
    ledger.reconcile(&table, 7, accepted_at.minus(20_000));
    ledger.reconcile(&table, 7, accepted_at.minus(1));
    ledger.reconcile(&table, 8, accepted_at);
    let last_spent = accepted_at.plus(timing::FRESHNESS_MS + timing::DRAWN_TOKEN_MS);
    ledger.reconcile(&table, 8, last_spent);
    assert!(
        !ledger.is_active(shard()),
        "the earlier holder's last token may be spent now"
    );
    ledger.reconcile(&table, 8, last_spent.plus(timing::CLOCK_MARGIN_MS));
    assert!(ledger.is_active(shard()));
    let limit = ShareLimit {
        rate: 1_000,
        burst: MICROS_PER_TOKEN,
    };
    let denied = ledger.grant(
        shard(),
        cranelift_entity::EntityRef::new(0),
        limit,
        last_spent.plus(100),
    );
    assert_eq!(denied, Err(TokenDenial::Empty { wait_millis: 1_000 }));
}

#[test]
fn hand_over_passes_the_fence_only_with_its_own_offer() {
    let now = ClockTime::from_millis(1_000);
    for (noted, recorded, expected) in [
        (OfferId(5), Some(OfferId(5)), true),
        (OfferId(5), Some(OfferId(6)), false),
        (OfferId(5), None, false),
    ] {
        let mut ledger = ShareLedger::new(OWN);
        ledger.note_offer(offer(noted), now);
        ledger.reconcile(&moved_table(recorded), 8, now);
        assert_eq!(
            ledger.is_active(shard()),
            expected,
            "offer {noted:?}, record {recorded:?}"
        );
    }
}

#[test]
fn stopped_shard_is_not_spent_from() {
    let mut table = ShardTable::new(1);
    assert!(table.change_holder(shard(), 0, None, Some(holder(OWN)), None, 3));
    let mut ledger = ShareLedger::new(OWN);
    let now = ClockTime::from_millis(1_000);
    ledger.reconcile(&table, 4, now);
    assert!(ledger.stop(shard(), OfferId(1), now).is_some());
    let limit = ShareLimit {
        rate: 1_000,
        burst: MICROS_PER_TOKEN,
    };
    let denied = ledger.grant(
        shard(),
        cranelift_entity::EntityRef::new(0),
        limit,
        now.plus(5_000),
    );
    assert_eq!(denied, Err(TokenDenial::NotActive));
}
