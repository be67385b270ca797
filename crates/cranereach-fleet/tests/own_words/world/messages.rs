//! Handles the events of a simulated world: calls, answers, digests and late rows.

use rand::RngExt;

use super::Call;
use super::Event;
use super::Mutant;
use super::RUN_MAX_MS;
use super::Words;
use super::World;
use super::id;
use crate::judge::Arrival;
use crate::judge::Told;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::rest::Rest;

impl World {
    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Send(call) => self.send(call),
            Event::Arrive(call) => self.arrive(call),
            Event::Answer(call, words) => self.answer(call, words),
            Event::Digest(number, news) => self.take(number, &news),
            Event::Row(number, version, row) => {
                if self.runs(number) {
                    self.put(number, version, row);
                }
            }
        }
    }

    fn send(&mut self, call: Call) {
        if !self.runs(call.instance) || self.is_cut(call.instance) {
            return;
        }
        if self.mutant != Mutant::AskedBeforeTheWait && self.is_barred(&call) {
            // Another worker is chosen.
            self.choose(call);
            return;
        }
        let now_ms = self.now_ms;
        let roster = &mut self.instances[call.instance].roster;
        let Some(worker) = roster.get_mut(&id(call.worker)) else {
            return;
        };
        worker.rest.sent(now_ms);
        let call = Call {
            meant: worker.record.started_unix_ms,
            sent_ms: now_ms,
            ..call
        };
        let in_ms = self.way_ms();
        self.at(in_ms, Event::Arrive(call));
    }

    fn arrive(&mut self, call: Call) {
        let worker = &self.workers[call.worker];
        let (start, leaves, sheds) = (worker.start, worker.leaves, worker.sheds);
        let is_turned_away = sheds || start != call.meant;
        let is_asked_for = start == call.meant;
        // An incarnation that the call isn't addressed to answers that it was misdirected.
        if is_asked_for {
            self.record.arrivals.push(Arrival {
                instance: call.instance,
                worker: call.worker,
                start,
                asked_ms: call.asked_ms,
                sent_ms: call.sent_ms,
                at_ms: self.now_ms,
            });
        }
        let for_ms = self.rng.random_range(300..5_000);
        let rest_ms = (sheds && is_asked_for).then_some(for_ms);
        if let Some(for_ms) = rest_ms {
            self.record.rests.push(Told {
                instance: call.instance,
                worker: call.worker,
                start,
                at_ms: self.now_ms,
                for_ms,
            });
        }
        let words = Words {
            start,
            leaves,
            is_taken: !is_turned_away,
            rest_ms,
        };
        let run_ms = if is_turned_away {
            1
        } else {
            self.rng.random_range(1..RUN_MAX_MS)
        };
        let in_ms = run_ms + self.way_ms();
        self.at(in_ms, Event::Answer(call, words));
    }

    fn answer(&mut self, call: Call, words: Words) {
        let number = call.instance;
        // Answers of another incarnation are ignored, and a restarted instance knows no old calls.
        let is_lost = self.instances[number].down_until_ms > call.sent_ms;
        if is_lost || words.start != call.meant {
            return;
        }
        let wait_ms = self.instances[number].frozen_until_ms.max(self.now_ms) - self.now_ms;
        if wait_ms > 0 {
            self.at(wait_ms, Event::Answer(call, words));
            return;
        }
        if self.is_cut(number) {
            return;
        }
        let now_ms = self.now_ms;
        let mutant = self.mutant;
        let roster = &mut self.instances[number].roster;
        if let Some(worker) = roster.get_mut(&id(call.worker))
            && worker.record.started_unix_ms == call.meant
        {
            if let Some(rest_ms) = words.rest_ms {
                if mutant == Mutant::RestCutShort {
                    worker.rest = Rest::default();
                }
                worker.rest.requested(now_ms, rest_ms);
            } else if words.is_taken {
                worker.rest.accepted(call.sent_ms);
            }
        }
        if words.leaves {
            self.record.told.push(Told {
                instance: number,
                worker: call.worker,
                start: words.start,
                at_ms: now_ms,
                for_ms: 0,
            });
            if roster.note_leaving_announced(now_ms, &id(call.worker), call.meant)
                && mutant != Mutant::PeersNotTold
            {
                let news = roster.departure_news(&id(call.worker));
                let learnt = news.into_iter().map(|news| (now_ms, news));
                self.instances[number].news.extend(learnt);
            }
        }
    }

    fn take(&mut self, number: usize, told: &[DepartureNews]) {
        if !self.runs(number) || self.is_cut(number) {
            return;
        }
        let now_ms = self.now_ms;
        let of = &mut self.instances[number];
        for news in told {
            if of.roster.note_leaving_reported(now_ms, news) {
                of.news.push((now_ms, *news));
            }
        }
    }
}
