//! A holder grants tokens only on current evidence.

use std::net::SocketAddr;

use crocushoist_coordination::EditId;
use crocushoist_coordination::EditRecord;
use crocushoist_coordination::FleetRecord;
use crocushoist_coordination::ShardClaim;
use crocushoist_coordination::timing;
use crocushoist_protocol::DrawAnswer;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::encode_record;
use crocushoist_state::ClockTime;
use crocushoist_state::ConfigChange;
use crocushoist_state::HostAddress;
use crocushoist_state::IncarnationId;
use crocushoist_state::RoutingPolicy;
use crocushoist_state::ShardHolder;
use crocushoist_state::ShardId;
use crocushoistd::host_state::HostState;

#[test]
fn holder_without_current_evidence_grants_nothing() {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_001));
    let own = ShardHolder {
        incarnation: IncarnationId(1),
        address: HostAddress {
            callers: address,
            peers: address,
            data_centre: "dc1".into(),
        },
        start_offset: 0,
        ended: false,
    };
    let edit = FleetRecord::Edit(EditRecord {
        id: EditId(1),
        base: 0,
        author: "test".into(),
        change: ConfigChange::PutWorkspace {
            name: "depot".into(),
        },
    });
    let claim = FleetRecord::Claim(ShardClaim {
        shard: ShardId::from_u32(0),
        generation: 0,
        from: None,
        to: Some(own.clone()),
        offer: None,
    });
    let mut state = HostState::new(own, 1, RoutingPolicy::Shared);
    let read_at = ClockTime::from_millis(100_000);
    state.absorb(
        0,
        vec![encode_record(&edit), encode_record(&claim)],
        read_at,
    );
    let draw = DrawRequest {
        shard: 0,
        workspace: "depot".into(),
    };
    let later = read_at.plus(timing::FRESHNESS_MS - 1);
    state.freshness.note_evidence(read_at);
    assert!(matches!(
        state.answer_draw(&draw, later),
        DrawAnswer::Granted { .. }
    ));
    // The only holder of the table is its own majority, so it must not settle here.
    let stale = read_at.plus(timing::FRESHNESS_MS);
    assert_eq!(state.answer_draw(&draw, stale), DrawAnswer::NotActive);
}
