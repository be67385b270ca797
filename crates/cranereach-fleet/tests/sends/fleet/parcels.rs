//! Messages of the simulated fleet, on their way and taken.

use rand::RngExt;

use super::Mutant;
use super::World;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::named_limit::NamedRate;
use cranereach_fleet::send_grants::AskPause;
use cranereach_fleet::send_grants::GRANT_VALID_MS;
use cranereach_fleet::send_grants::SendAnswer;

/// What is on its way.
#[derive(Clone, Copy, Debug)]
pub(super) enum Parcel {
    Ask {
        from: usize,
        ticket: u64,
        rank: u8,
        limit: Option<LimitReport>,
    },
    Answer {
        ticket: u64,
        answer: SendAnswer,
        limit: Option<LimitReport>,
    },
    /// The worker's answer to a request sent at a time, in milliseconds.
    Answered {
        start_ms: u64,
        sent_ms: u64,
        said: NamedRate,
    },
    /// What an instance tells whoever is asked how the worker stands.
    Told(LimitReport),
}

impl World {
    pub(super) fn send(&mut self, to: usize, parcel: Parcel) {
        if self.rng.random_bool(self.lost_share) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.lost_share));
        for _ in 0..copies {
            let delay_ms = self.rng.random_range(1..=self.delay_max_ms);
            let due = self.on_the_way.entry(self.now_ms + delay_ms).or_default();
            due.push((to, parcel));
        }
    }

    pub(super) fn deliver(&mut self) {
        let later = self.on_the_way.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.on_the_way, later);
        for (to, parcel) in due.into_values().flatten() {
            let of = &mut self.instances[to];
            if self.now_ms >= of.cut_until_ms.max(of.down_until_ms) {
                of.waiting.push(parcel);
            }
        }
        for number in 0..self.instances.len() {
            if !self.runs(number) {
                continue;
            }
            for parcel in std::mem::take(&mut self.instances[number].waiting) {
                self.take(number, parcel);
            }
            self.time_out(number);
        }
    }

    fn time_out(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let of = &mut self.instances[number];
        of.open
            .retain(|_, (_, asked_ms)| now_ms <= *asked_ms + GRANT_VALID_MS);
    }

    fn take(&mut self, number: usize, parcel: Parcel) {
        match parcel {
            Parcel::Ask {
                from,
                ticket,
                rank,
                limit,
            } => {
                self.told(number, limit);
                let answer = self.grant(number, rank);
                if self.is_heard(number) {
                    let limit = self.word(number);
                    let answer = Parcel::Answer {
                        ticket,
                        answer,
                        limit,
                    };
                    self.send(from, answer);
                }
            }
            Parcel::Answer {
                ticket,
                answer,
                limit,
            } => {
                self.told(number, limit);
                let now_ms = self.now_ms;
                let of = &mut self.instances[number];
                let Some((rank, asked_ms)) = of.open.remove(&ticket) else {
                    return;
                };
                // One that comes late, as after a freeze, isn't used.
                if now_ms <= asked_ms + GRANT_VALID_MS {
                    self.answered(number, rank, answer);
                }
            }
            Parcel::Answered {
                start_ms,
                sent_ms,
                said,
            } => {
                if self.instances[number].started_ms == start_ms {
                    self.heard(number, sent_ms, said);
                }
            }
            Parcel::Told(word) => self.told(number, Some(word)),
        }
    }

    pub(super) fn told(&mut self, number: usize, word: Option<LimitReport>) {
        let of = &mut self.instances[number];
        if let Some(word) = word
            && of.limit.merge(self.now_ms, &word)
        {
            of.pause = AskPause::default();
        }
    }

    /// An instance hears the worker's answer, and tells whoever is asked how it stands and
    /// the owner of its grants.
    fn heard(&mut self, number: usize, sent_ms: u64, said: NamedRate) {
        let now_ms = self.now_ms;
        let of = &mut self.instances[number];
        if matches!(said, NamedRate::Limit(_)) {
            of.told_ms.get_or_insert(now_ms);
        }
        if self.mutant == Mutant::Deaf {
            return;
        }
        let has_changed = of.limit.observe(said, true, sent_ms, now_ms);
        if has_changed {
            of.pause = AskPause::default();
            if let (Some(word), true) = (self.word(number), self.is_heard(number)) {
                self.send(self.reporter(), Parcel::Told(word));
                self.send(self.owner(), Parcel::Told(word));
            }
        }
    }
}
