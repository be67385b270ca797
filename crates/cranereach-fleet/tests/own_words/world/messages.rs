//! Handles the events of a simulated world: calls, answers, digests and late rows.

use rand::RngExt;

use super::AnswerHead;
use super::Call;
use super::Event;
use super::Mutant;
use super::RUN_MAX_MS;
use super::World;
use super::id;
use crate::judge::Announcement;
use crate::judge::Arrival;
use cranereach_fleet::departure::DepartureNews;
use cranereach_fleet::rest::Rest;

impl World {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Send(call) => self.send(call),
            Event::Arrive(call) => self.arrive(call),
            Event::Answer(call, head) => self.answer(call, head),
            Event::Digest(number, news) => self.receive(number, &news),
            Event::Row(number, version, row) => {
                if self.is_running(number) {
                    self.put(number, version, row);
                }
            }
        }
    }

    fn send(&mut self, call: Call) {
        if !self.is_running(call.instance) || self.is_cut_off(call.instance) {
            return;
        }
        if self.mutant != Mutant::CheckBeforeDelay && self.is_barred(&call) {
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
            addressed_start: worker.record.started_unix_ms,
            sent_ms: now_ms,
            ..call
        };
        let in_ms = self.transit_ms();
        self.schedule(in_ms, Event::Arrive(call));
    }

    fn arrive(&mut self, call: Call) {
        let worker = &self.workers[call.worker];
        let (start, is_leaving, is_shedding) =
            (worker.start, worker.is_leaving, worker.is_shedding);
        let is_refused = is_shedding || start != call.addressed_start;
        let is_addressed = start == call.addressed_start;
        // An incarnation that the call isn't addressed to answers that it was misdirected.
        if is_addressed {
            self.record.arrivals.push(Arrival {
                instance: call.instance,
                worker: call.worker,
                start,
                requested_ms: call.requested_ms,
                sent_ms: call.sent_ms,
                at_ms: self.now_ms,
            });
        }
        let for_ms = self.rng.random_range(300..5_000);
        let rest_ms = (is_shedding && is_addressed).then_some(for_ms);
        if let Some(for_ms) = rest_ms {
            self.record.rests.push(Announcement {
                instance: call.instance,
                worker: call.worker,
                start,
                at_ms: self.now_ms,
                for_ms,
            });
        }
        let head = AnswerHead {
            start,
            is_leaving,
            is_accepted: !is_refused,
            rest_ms,
        };
        let run_ms = if is_refused {
            1
        } else {
            self.rng.random_range(1..RUN_MAX_MS)
        };
        let in_ms = run_ms + self.transit_ms();
        self.schedule(in_ms, Event::Answer(call, head));
    }

    fn answer(&mut self, call: Call, head: AnswerHead) {
        let number = call.instance;
        // Answers of another incarnation are ignored, and a restarted instance knows no old calls.
        let is_lost = self.instances[number].down_until_ms > call.sent_ms;
        if is_lost || head.start != call.addressed_start {
            return;
        }
        let wait_ms = self.instances[number].frozen_until_ms.max(self.now_ms) - self.now_ms;
        if wait_ms > 0 {
            self.schedule(wait_ms, Event::Answer(call, head));
            return;
        }
        if self.is_cut_off(number) {
            return;
        }
        let now_ms = self.now_ms;
        let mutant = self.mutant;
        let roster = &mut self.instances[number].roster;
        if let Some(worker) = roster.get_mut(&id(call.worker))
            && worker.record.started_unix_ms == call.addressed_start
        {
            if let Some(rest_ms) = head.rest_ms {
                if mutant == Mutant::RestShortened {
                    worker.rest = Rest::default();
                }
                worker.rest.requested(now_ms, rest_ms);
            } else if head.is_accepted {
                worker.rest.accepted(call.sent_ms);
            }
        }
        if head.is_leaving {
            self.record.departures.push(Announcement {
                instance: number,
                worker: call.worker,
                start: head.start,
                at_ms: now_ms,
                for_ms: 0,
            });
            if roster.note_leaving_announced(now_ms, &id(call.worker), call.addressed_start)
                && mutant != Mutant::PeersNotNotified
            {
                let news = roster.departure_news(&id(call.worker));
                let learnt = news.into_iter().map(|news| (now_ms, news));
                self.instances[number].news.extend(learnt);
            }
        }
    }

    fn receive(&mut self, number: usize, departures: &[DepartureNews]) {
        if !self.is_running(number) || self.is_cut_off(number) {
            return;
        }
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        for news in departures {
            if instance.roster.note_leaving_reported(now_ms, news) {
                instance.news.push((now_ms, *news));
            }
        }
    }
}
