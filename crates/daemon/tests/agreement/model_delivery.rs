//! What a message changes when it arrives.

use rand::Rng;

use crocushoist_coordination::timing;
use crocushoist_protocol::DrawAnswer;
use crocushoist_protocol::DrawRequest;
use crocushoist_state::GrantId;

use crate::WORKSPACE;
use crate::fleet_model::FleetModel;
use crate::model_message::Message;

pub(crate) fn deliver(model: &mut FleetModel) {
    let Some(index) = model.pick_message() else {
        return;
    };
    let now = model.now;
    match model.messages.swap_remove(index) {
        Message::Append { record, .. } => model.append(&record),
        Message::ReadAnswer {
            host,
            first,
            tail,
            asked_at,
            records,
        } => {
            let state = &mut model.hosts[host];
            state.absorb(first, records, now);
            if state.fold.next_offset() >= tail {
                state.freshness.note_evidence(asked_at);
            }
        }
        Message::PullAsk {
            from,
            to,
            asked_at,
            request,
        } => {
            let asked_from = request.next_offset;
            let mut answer = Box::new(model.hosts[to].answer_pull(request, now));
            if model.random.random_bool(0.2) {
                answer.records = None;
            }
            model.messages.push(Message::PullTold {
                from,
                asked_from,
                asked_at,
                answer,
            });
        }
        Message::PullTold {
            from,
            asked_from,
            asked_at,
            answer,
        } => {
            model.hosts[from].take_pull_answer(asked_from, asked_at, *answer, now);
        }
        Message::DrawAsk {
            from,
            to,
            sent_at,
            shard,
        } => {
            let request = DrawRequest {
                shard: shard.as_u32(),
                workspace: WORKSPACE.into(),
            };
            if let DrawAnswer::Granted { grant } = model.hosts[to].answer_draw(&request, now) {
                model.messages.push(Message::DrawTold {
                    from,
                    to,
                    sent_at,
                    shard,
                    grant,
                });
            }
        }
        Message::DrawTold {
            from,
            to,
            sent_at,
            shard,
            grant,
        } => {
            let expires = sent_at.plus(timing::DRAWN_TOKEN_MS);
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
            if let Ok(workspace) = state.fold.config().find_workspace(WORKSPACE) {
                state
                    .ledger
                    .close(shard, workspace, GrantId(grant), spent, now);
            }
        }
    }
}
