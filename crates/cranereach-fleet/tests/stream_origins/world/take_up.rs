//! Callers that take broken streams up.

use rand::RngExt;
use rand::seq::IndexedRandom;

use super::LIST_FRESH_MS;
use super::Mutant;
use super::SERVICE;
use super::START_MS;
use super::Stream;
use super::World;
use super::list::ListedWorker;
use super::number_of;
use cranereach_fleet::stream_origins::Decision;
use cranereach_fleet::stream_origins::Origin;
use cranereach_fleet::stream_origins::OriginAnswer;
use cranereach_fleet::stream_origins::all_started;
use cranereach_fleet::stream_origins::holders;

/// Times that a holder is asked.
const ASK_MAX_COUNT: u32 = 2;

/// Time after which an instance that has just started asks peers again; it doubles each time.
pub const CONFIRMATION_INTERVAL_MS: u64 = 250;

/// Longest such time.
const CONFIRMATION_INTERVAL_MAX_MS: u64 = 4_000;

/// The same while the peers asked have just started, too.
const STARTED_INTERVAL_MAX_MS: u64 = 500;

/// Tries of a caller for one stream.
const TRY_MAX_COUNT: u32 = 6;

impl World {
    pub fn pick_instance(&mut self) -> Option<usize> {
        let number = self.rng.random_range(0..self.instances.len());
        let is_running = self.instances[number].presence.is_running(self.now_ms);
        is_running.then_some(number)
    }

    /// Picks a worker that an instance knows and that runs, of the given version if there is one.
    pub fn pick_worker(&mut self, number: usize, version: Option<u64>) -> Option<(u64, u64)> {
        let known = self.list.at(self.now_ms - self.list_age_ms(number)).iter();
        let known = known.filter(|worker| version.is_none_or(|version| worker.version == version));
        let alive: Vec<_> = known
            .filter(|worker| self.list.is_alive(worker.id))
            .collect();
        let picked = alive.choose(&mut self.rng)?;
        Some((picked.id, picked.version))
    }

    /// Picks a worker for a stream that begins, of a settled version as long as there is one. Returns
    /// its row.
    pub fn pick_worker_for_new(&mut self, number: usize) -> Option<ListedWorker> {
        let origins = &self.instances[number].origins;
        let settled = origins.settled_versions(self.now_ms, SERVICE, LIST_FRESH_MS);
        let known = self.list.at(self.now_ms - self.list_age_ms(number)).iter();
        let alive: Vec<_> = known
            .filter(|worker| self.list.run_at(**worker).is_some())
            .collect();
        let of_settled = alive
            .iter()
            .filter(|worker| settled.contains(&worker.version));
        let of_settled: Vec<_> = of_settled.copied().collect();
        let may_begin_anywhere = of_settled.is_empty() || self.mutant == Mutant::BeginsAnywhere;
        let choices = if may_begin_anywhere {
            alive
        } else {
            of_settled
        };
        choices.choose(&mut self.rng).map(|picked| **picked)
    }

    pub fn take_up_streams(&mut self) {
        let later = self.waiting.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.waiting, later);
        for stream in due.into_values().flatten() {
            match self.pick_instance() {
                Some(number) => self.take_up(number, stream),
                None => self.wait(stream),
            }
        }
    }

    fn take_up(&mut self, number: usize, mut stream: Stream) {
        let same = self.list.current().iter();
        let same = same.filter(|worker| worker.version == stream.version);
        let is_in_touch = self.instances[number].presence.is_in_touch(self.now_ms);
        let is_judged = self.now_ms >= START_MS + self.plan.judged_from_ms;
        let is_fair = same.count() >= 2 && is_in_touch && is_judged;
        self.judge.taken_up_count += 1;
        self.judge.fair_count += u64::from(is_fair);
        let is_old = is_fair && stream.began_ms < self.all_killed_at_ms;
        self.judge.old_count += u64::from(is_old);
        let origin = match self.resolve(number, stream.key) {
            Decision::GoOn(origin) => Some(origin.version),
            _ if self.mutant == Mutant::GuessesUnknown => None,
            _ => {
                self.judge.unknown_count += 1;
                return;
            }
        };
        let Some((worker, version)) = self.pick_worker(number, origin) else {
            self.judge.version_gone_count += 1;
            return;
        };
        self.judge.gone_on_count += 1;
        self.judge.fair_gone_on_count += u64::from(is_fair);
        self.judge.old_gone_on_count += u64::from(is_old);
        if version != stream.version && !stream.is_mixed {
            stream.is_mixed = true;
            self.judge.mixed_stream_count += 1;
        }
        stream.instance = number;
        stream.worker = worker;
        stream.try_count += 1;
        stream.will_break =
            stream.try_count < TRY_MAX_COUNT && self.rng.random_bool(self.plan.broken_ratio);
        self.note(&stream, version);
        self.start(stream);
    }

    fn resolve(&mut self, number: usize, key: u64) -> Decision {
        self.observe_list(number);
        let is_fresh =
            self.list_age_ms(number) <= LIST_FRESH_MS || self.mutant == Mutant::TrustsStaleLists;
        let origins = &self.instances[number].origins;
        let decision = origins.decide(self.now_ms, SERVICE, key, is_fresh);
        if decision != Decision::Ask {
            return decision;
        }
        let (_, answers) = self.ask(number, key);
        let known = answers.iter().find_map(|answer| match answer {
            OriginAnswer::Known(origin) => Some(*origin),
            _ => None,
        });
        let has_peers = self.instances.len() > 1;
        let origins = &mut self.instances[number].origins;
        let known: Option<Origin> = known;
        known.map_or_else(
            || origins.decide_by_answers(self.now_ms, SERVICE, &answers, has_peers),
            Decision::GoOn,
        )
    }

    /// Asks two peers, now and then, whether there was one version only.
    pub fn ask_for_confirmation(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        if instance
            .origins
            .unconfirmed_services(self.now_ms)
            .is_empty()
        {
            instance.ask_interval_ms = CONFIRMATION_INTERVAL_MS;
            return;
        }
        if self.now_ms < instance.asks_at_ms {
            return;
        }
        instance.asks_at_ms = self.now_ms + instance.ask_interval_ms;
        let drawn = self.rng.random();
        let (asked_count, answers) = self.ask(number, drawn);
        let instance = &mut self.instances[number];
        instance.have_peers_started = all_started(asked_count, &answers);
        let max_ms = if self.plan.keeps_history && instance.have_peers_started {
            STARTED_INTERVAL_MAX_MS
        } else {
            CONFIRMATION_INTERVAL_MAX_MS
        };
        instance.ask_interval_ms = (instance.ask_interval_ms * 2).min(max_ms);
        let origins = &mut self.instances[number].origins;
        origins.confirm(self.now_ms, SERVICE, &answers);
    }

    /// Asks the holders of a stream, except the asker itself. Returns how many were asked, and their
    /// answers.
    fn ask(&mut self, number: usize, key: u64) -> (usize, Vec<OriginAnswer>) {
        let members = self.members_seen_by(number);
        let [first, second] = holders(key, members.into_iter());
        let second = second.filter(|_| self.mutant != Mutant::OneHolder);
        let mut asked_count = 0;
        let mut answers = Vec::new();
        for holder in [first, second].into_iter().flatten() {
            let holder = number_of(holder);
            if holder == number {
                continue;
            }
            asked_count += 1;
            for _ in 0..ASK_MAX_COUNT {
                if let Some(answer) = self.ask_once(number, holder, key) {
                    answers.push(answer);
                    break;
                }
            }
        }
        (asked_count, answers)
    }

    fn ask_once(&mut self, number: usize, holder: usize, key: u64) -> Option<OriginAnswer> {
        self.judge.sent(self.now_ms, number);
        let is_lost = self.rng.random_bool(self.plan.loss_ratio);
        let are_connected = [number, holder].iter().all(|number| {
            let presence = &self.instances[*number].presence;
            presence.is_reachable(self.now_ms)
        });
        if is_lost || !are_connected {
            return None;
        }
        self.judge.sent(self.now_ms, holder);
        let is_answer_lost = self.rng.random_bool(self.plan.loss_ratio);
        let origins = &self.instances[holder].origins;
        (!is_answer_lost).then(|| origins.answer(self.now_ms, SERVICE, key))
    }
}
