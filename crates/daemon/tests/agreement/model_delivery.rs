//! Delivery of one message and its effect on the model.

use rand::Rng;

use crocushoist_coordination::timing;
use crocushoist_protocol::DrawRequest;
use crocushoist_protocol::DrawResponse;
use crocushoist_state::GrantId;

use crate::WORKSPACE;
use crate::fleet_model::FleetModel;
use crate::model_message::Message;

/// Delivers one message, if any can be delivered.
pub(crate) fn deliver(model: &mut FleetModel) {
    let Some(index) = model.pick_message() else {
        return;
    };
    let now = model.now;
    match model.messages.swap_remove(index) {
        Message::Append { record, .. } => model.append(&record),
        Message::ReadReply {
            host,
            first,
            tail,
            sent_at,
            records,
        } => {
            let state = &mut model.hosts[host];
            state.apply_records(first, records, now);
            if state.replayed.next_offset() >= tail {
                state.freshness.record_evidence(sent_at);
            }
        }
        Message::PullCall {
            from,
            to,
            sent_at,
            request,
        } => {
            let requested_offset = request.next_offset;
            let mut response = Box::new(model.hosts[to].handle_pull(request, now));
            if model.random.random_bool(0.2) {
                response.records = None;
            }
            model.messages.push(Message::PullReply {
                from,
                requested_offset,
                sent_at,
                response,
            });
        }
        Message::PullReply {
            from,
            requested_offset,
            sent_at,
            response,
        } => {
            model.hosts[from].apply_pull_response(requested_offset, sent_at, *response, now);
        }
        Message::DrawCall {
            from,
            to,
            sent_at,
            shard,
        } => {
            let request = DrawRequest {
                shard: shard.as_u32(),
                workspace: WORKSPACE.into(),
            };
            if let DrawResponse::Granted { grant } = model.hosts[to].handle_draw(&request, now) {
                model.messages.push(Message::DrawReply {
                    from,
                    to,
                    sent_at,
                    shard,
                    grant,
                });
            }
        }
        Message::DrawReply {
            from,
            to,
            sent_at,
            shard,
            grant,
        } => {
            let expires = sent_at.plus(timing::DRAWN_TOKEN_LIFETIME_MS);
            let spent = expires > now && model.hosts[from].is_fresh(now);
            if spent {
                model.spent_at.push(now.as_millis());
            }
            model.messages.push(Message::Closed {
                to,
                shard,
                grant,
                spent,
            });
        }
        Message::Closed {
            to,
            shard,
            grant,
            spent,
        } => {
            let state = &mut model.hosts[to];
            if let Ok(workspace) = state.replayed.config().find_workspace(WORKSPACE) {
                state
                    .shard_buckets
                    .finish_grant(shard, workspace, GrantId(grant), spent, now);
            }
        }
    }
}
