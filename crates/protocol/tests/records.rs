//! Records and snapshots survive the wire, and changed ones are told.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::RecordFold;
use crocushoist_coordination::ShardClaim;
use crocushoist_protocol::ProtocolError;
use crocushoist_protocol::decode_record;
use crocushoist_protocol::decode_snapshot;
use crocushoist_protocol::encode_record;
use crocushoist_protocol::encode_snapshot;
use crocushoist_protocol::join_snapshot;
use crocushoist_protocol::split_snapshot;
use crocushoist_state::ConfigChange;
use crocushoist_state::ExceptionScope;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::KeyDigest;
use crocushoist_state::OfferId;
use crocushoist_state::RouteAccess;
use crocushoist_state::SettingName;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;

const SHARDS: u32 = 4;

fn name() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["depot", "installer", "audit"]).prop_map(str::to_owned)
}

fn change() -> impl Strategy<Value = ConfigChange> {
    prop_oneof![
        (1..1_000u32).prop_map(|value| ConfigChange::SetDefault {
            setting: SettingName::Rate,
            value
        }),
        (name(), 0..2_000u32).prop_map(|(name, value)| ConfigChange::PutException {
            scope: ExceptionScope::Workspace(name.into()),
            setting: SettingName::Burst,
            value,
            reason: "agreed".into(),
        }),
        name().prop_map(|name| ConfigChange::PutWorkspace { name: name.into() }),
        name().prop_map(|name| ConfigChange::RemoveWorkspace { name: name.into() }),
        (name(), 0..5u8).prop_map(|(name, key)| ConfigChange::GrantKey {
            digest: KeyDigest::of(&key.to_string()),
            workspace: name.into(),
        }),
        (0..5u8).prop_map(|key| ConfigChange::WithdrawKey {
            digest: KeyDigest::of(&key.to_string())
        }),
        name().prop_map(|name| ConfigChange::PutService {
            name: name.into(),
            shed_is_not_run: true
        }),
        name().prop_map(|name| ConfigChange::RemoveService { name: name.into() }),
        (name(), any::<bool>()).prop_map(|(name, open)| ConfigChange::PutRoute {
            prefix: format!("/{name}").into(),
            service: name.into(),
            access: if open {
                RouteAccess::Open
            } else {
                RouteAccess::Keyed
            },
        }),
    ]
}

fn holder() -> impl Strategy<Value = ShardHolder> {
    (1..4u64).prop_map(|incarnation| {
        let address = std::net::SocketAddr::from(([10, 0, 0, incarnation as u8], 7_001));
        ShardHolder {
            incarnation: IncarnationId(incarnation),
            address: HostAddress {
                callers: address,
                peers: address,
                data_centre: "dc1".into(),
            },
            start_offset: incarnation * 10,
            ended: false,
        }
    })
}

fn record() -> impl Strategy<Value = FleetRecord> {
    let edit = (any::<u128>(), 0..6u64, change()).prop_map(|(id, base, change)| {
        FleetRecord::Edit(EditRecord {
            id: EditId(id),
            base,
            author: "a".into(),
            change,
        })
    });
    let claim = (
        0..SHARDS,
        0..3u32,
        prop::option::of(1..4u64),
        prop::option::of(holder()),
        any::<u64>(),
    );
    let claim = claim.prop_map(|(shard, generation, from, to, offer)| {
        FleetRecord::Claim(ShardClaim {
            shard: ShardId::from_u32(shard),
            generation,
            from: from.map(IncarnationId),
            to,
            offer: Some(OfferId(offer)),
        })
    });
    let end = (1..4u64).prop_map(|incarnation| FleetRecord::End {
        incarnation: IncarnationId(incarnation),
        author: "a".into(),
        reason: "replaced".into(),
    });
    prop_oneof![4 => edit, 3 => claim, 1 => end]
}

fn fold_of(records: &[FleetRecord]) -> RecordFold {
    let mut fold = RecordFold::new(SHARDS);
    for (offset, record) in records.iter().enumerate() {
        fold.apply(offset as u64, Some(record)).unwrap();
    }
    fold
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn record_survives(record in record()) {
        prop_assert_eq!(decode_record(&encode_record(&record)), Ok(record));
    }

    #[test]
    fn damaged_record_never_panics(record in record(), at in any::<usize>(), byte in any::<u8>()) {
        let mut bytes = encode_record(&record);
        let index = at % bytes.len();
        bytes[index] = byte;
        let _ = decode_record(&bytes);
        bytes.truncate(index);
        let _ = decode_record(&bytes);
    }

    #[test]
    fn snapshot_continues_like_the_fold(
        records in prop::collection::vec(record(), 0..60),
        more in prop::collection::vec(record(), 0..20),
    ) {
        let mut fold = fold_of(&records);
        let mut restored = decode_snapshot(&encode_snapshot(&fold)).unwrap();
        for (index, record) in more.iter().enumerate() {
            let offset = (records.len() + index) as u64;
            fold.apply(offset, Some(record)).unwrap();
            restored.apply(offset, Some(record)).unwrap();
        }
        prop_assert_eq!(encode_snapshot(&fold), encode_snapshot(&restored));
    }

    #[test]
    fn second_fold_of_a_record_changes_nothing(records in prop::collection::vec(record(), 1..40)) {
        let mut fold = fold_of(&records);
        let before = fold.clone();
        for (offset, record) in records.iter().enumerate() {
            fold.apply(offset as u64, Some(record)).unwrap();
        }
        prop_assert!(fold == before);
        prop_assert!(fold.apply(records.len() as u64 + 1, None).is_err());
    }
}

#[test]
fn newest_whole_snapshot_is_joined() {
    let old = fold_of(&[]);
    let records = [FleetRecord::End {
        incarnation: IncarnationId(1),
        author: "a".into(),
        reason: "gone".into(),
    }];
    let new = fold_of(&records);
    let mut parts = split_snapshot(0, &encode_snapshot(&old));
    assert!(join_snapshot(&[]).is_none());
    let mut torn = split_snapshot(9, &vec![7; 500_000]);
    torn.pop();
    parts.extend(torn);
    parts.extend(split_snapshot(1, &encode_snapshot(&new)));
    let joined = join_snapshot(&parts).unwrap().unwrap();
    assert_eq!(joined.next_offset(), 1);
}

#[test]
fn record_of_another_version_is_told() {
    let error = decode_record(&[9, 1, 2]).unwrap_err();
    assert_eq!(error, ProtocolError::Version { found: 9, known: 1 });
}
