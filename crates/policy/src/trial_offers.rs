//! Offers the trials of all instances to hosts, at the hub.

use crocushoist_state::ClockTime;

use crate::trial_round::TrialKind;
use crate::trial_round::TrialRound;
use crate::trial_width::TrialWidth;

/// Numbers of hosts to which the rounds of each kind offer a trial.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TrialOffers {
    optional_width: TrialWidth,
    required_width: TrialWidth,
}

impl TrialOffers {
    /// Next offer of the instance with `round`, which is due; starts a round if none runs. A new
    /// round has the kind `kind`. `None` if every offer of the round was made.
    pub(crate) fn next_offer(
        &mut self,
        round: &mut TrialRound,
        kind: TrialKind,
        now: ClockTime,
    ) -> Option<TrialKind> {
        if round.is_over(now) {
            if let Some(unused) = round.open_kind() {
                self.width_mut(unused).record_unused();
            }
            round.start(kind, self.width_mut(kind).offers(), now);
        }
        round.take_offer(now)
    }

    /// Records a request to the instance with `round` and whether it got a response.
    pub(crate) fn record_tried(
        &mut self,
        round: &mut TrialRound,
        has_response: bool,
        now: ClockTime,
    ) {
        if let Some(used) = round.record_tried(has_response, now) {
            self.width_mut(used).record_used();
        }
    }

    fn width_mut(&mut self, kind: TrialKind) -> &mut TrialWidth {
        match kind {
            TrialKind::Optional => &mut self.optional_width,
            TrialKind::Required => &mut self.required_width,
        }
    }
}
