//! Leave to send a call to its worker, asked for right before: the choice may be old by
//! then, after a wait for a burst of prompts or for a connection.

use super::exchange::Exchange;
use crate::named_limits::Purpose;
use crate::send_grants;
use cranereach_fleet::roster::Choice;

impl Exchange<'_> {
    /// Whether the call may be sent to the chosen worker at once.
    pub(super) async fn has_leave(&self, choice: &Choice) -> bool {
        if !self.may_send_to_domain(choice) {
            return false;
        }
        let rank = self.call.rank;
        // Owners answer within some ten milliseconds, in which a demand may have come.
        send_grants::may_send(self.node, &choice.id, Purpose::Call, rank).await
            && self.may_send_to_domain(choice)
    }

    /// Whether the failure domain of the chosen worker still gets requests.
    fn may_send_to_domain(&self, choice: &Choice) -> bool {
        let now_ms = self.node.now_ms();
        self.node.roster().may_send(now_ms, &choice.id)
    }

    /// Counts the call as sent to the failure domain of its worker.
    pub(super) fn count_send(&self, choice: &Choice) {
        let roster = self.node.roster();
        if let Some(worker) = roster.get(&choice.id) {
            let domain = worker.record.failure_domain.as_ref();
            let counter = &self.node.metrics.sends_total;
            counter.with_label_values(&[domain]).inc();
        }
    }
}
