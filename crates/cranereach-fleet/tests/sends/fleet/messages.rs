//! Messages of the simulated fleet: sending, delivery and handling.

use rand::RngExt;

use super::Mutant;
use super::World;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::named_limit::NamedRate;
use cranereach_fleet::send_grants::AskPause;
use cranereach_fleet::send_grants::GRANT_VALID_MS;
use cranereach_fleet::send_grants::SendAnswer;

/// A message that is in flight.
#[derive(Clone, Copy, Debug)]
pub(super) enum Message {
    Ask {
        from: usize,
        request_id: u64,
        rank: u8,
        limit: Option<LimitReport>,
    },
    Answer {
        request_id: u64,
        answer: SendAnswer,
        limit: Option<LimitReport>,
    },
    /// The worker's answer to a request sent at a time, in milliseconds, with the limit it names.
    Response {
        start_ms: u64,
        sent_ms: u64,
        rate: NamedRate,
    },
    /// An instance's report of the worker's limit, to the owner and to the instance that others
    /// query for the worker's status.
    LimitUpdate(LimitReport),
}

impl World {
    pub(super) fn send(&mut self, to: usize, message: Message) {
        if self.rng.random_bool(self.loss_ratio) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.loss_ratio));
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..=self.delay_max_ms);
            let due = self.in_flight.entry(self.now_ms + delay_ms).or_default();
            due.push((to, message));
        }
    }

    pub(super) fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (to, message) in due.into_values().flatten() {
            let instance = &mut self.instances[to];
            if self.now_ms >= instance.cut_off_until_ms.max(instance.down_until_ms) {
                instance.inbox.push(message);
            }
        }
        for number in 0..self.instances.len() {
            if !self.is_running(number) {
                continue;
            }
            for message in std::mem::take(&mut self.instances[number].inbox) {
                self.receive(number, message);
            }
            self.expire_pending(number);
        }
    }

    fn expire_pending(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        instance
            .pending
            .retain(|_, (_, asked_ms)| now_ms <= *asked_ms + GRANT_VALID_MS);
    }

    fn receive(&mut self, number: usize, message: Message) {
        match message {
            Message::Ask {
                from,
                request_id,
                rank,
                limit,
            } => {
                self.apply_limit_report(number, limit);
                let answer = self.grant(number, rank);
                if self.is_reachable(number) {
                    let limit = self.limit_report(number);
                    let answer = Message::Answer {
                        request_id,
                        answer,
                        limit,
                    };
                    self.send(from, answer);
                }
            }
            Message::Answer {
                request_id,
                answer,
                limit,
            } => {
                self.apply_limit_report(number, limit);
                let now_ms = self.now_ms;
                let instance = &mut self.instances[number];
                let Some((rank, asked_ms)) = instance.pending.remove(&request_id) else {
                    return;
                };
                // A late answer, for example after a suspension, isn't used.
                if now_ms <= asked_ms + GRANT_VALID_MS {
                    self.handle_answer(number, rank, answer);
                }
            }
            Message::Response {
                start_ms,
                sent_ms,
                rate,
            } => {
                if self.instances[number].started_ms == start_ms {
                    self.observe_limit(number, sent_ms, rate);
                }
            }
            Message::LimitUpdate(report) => self.apply_limit_report(number, Some(report)),
        }
    }

    pub(super) fn apply_limit_report(&mut self, number: usize, report: Option<LimitReport>) {
        let instance = &mut self.instances[number];
        if let Some(report) = report
            && instance.limit.merge(self.now_ms, &report)
        {
            instance.pause = AskPause::default();
        }
    }

    /// Handles the worker's answer at an instance, which reports a changed limit to the owner of
    /// the grants and to the instance that others query for the worker's status.
    fn observe_limit(&mut self, number: usize, sent_ms: u64, rate: NamedRate) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        if matches!(rate, NamedRate::Limit(_)) {
            instance.limit_named_ms.get_or_insert(now_ms);
        }
        if self.mutant == Mutant::IgnoresLimit {
            return;
        }
        let has_changed = instance.limit.observe(rate, true, sent_ms, now_ms);
        if has_changed {
            instance.pause = AskPause::default();
            if let (Some(report), true) = (self.limit_report(number), self.is_reachable(number)) {
                self.send(self.reporter(), Message::LimitUpdate(report));
                self.send(self.owner(), Message::LimitUpdate(report));
            }
        }
    }
}
