//! The history of versions that instances keep in the store, and its restores.

use std::ops::Range;

use rand::RngExt;

use super::Mutant;
use super::SERVICE;
use super::START_MS;
use super::World;
use cranereach_fleet::stream_origins::StoreMoment;
use cranereach_fleet::stream_origins::VersionHistory;

/// Times that an instance reads the history after a start.
const READ_MAX_COUNT: u32 = 3;

/// Time between two reads of one instance.
const READ_INTERVAL_MS: u64 = 1_000;

/// Number of instances that read it at the same time, on average.
const READER_COUNT: usize = 8;

/// Longest time for which all instances are down.
const DOWN_MAX_MS: u64 = 1_500;

/// Times after which callers come back when all instances were killed.
const CALLERS_BACK_MS: Range<u64> = 4_600..8_000;

/// Largest age of the copy that the store is restored from.
const COPY_AGE_MAX_MS: u64 = 6_000;

/// What the store holds, with all earlier content.
#[derive(Default)]
pub struct StoredHistory {
    era: u64,
    /// Time and content of each change.
    changes: Vec<(u64, VersionHistory)>,
}

impl StoredHistory {
    fn current(&self) -> VersionHistory {
        let last = self.changes.last();
        last.map_or_else(VersionHistory::default, |(_, history)| history.clone())
    }

    fn put(&mut self, at_ms: u64, history: VersionHistory) {
        self.changes.push((at_ms, history));
    }

    fn restore(&mut self, copied_at_ms: u64) {
        self.changes.retain(|(at_ms, _)| *at_ms <= copied_at_ms);
        self.era += 1;
    }
}

impl World {
    /// Kills all instances when it is time, and restores the store from a copy.
    pub fn restart_all_if_due(&mut self) {
        let every_ms = self.plan.all_restart_every_ms;
        let elapsed_ms = self.now_ms - START_MS;
        if every_ms == 0 || !elapsed_ms.is_multiple_of(every_ms) {
            return;
        }
        self.all_killed_at_ms = self.now_ms;
        for number in 0..self.instances.len() {
            let until_ms = self.now_ms + self.rng.random_range(500..DOWN_MAX_MS);
            self.restart(number, until_ms);
        }
        // Callers come back once the instances are in touch.
        for stream in std::mem::take(&mut self.waiting).into_values().flatten() {
            let at_ms = self.now_ms + self.rng.random_range(CALLERS_BACK_MS);
            self.waiting.entry(at_ms).or_default().push(stream);
        }
        if self.plan.restores_store {
            let age_ms = self.rng.random_range(0..COPY_AGE_MAX_MS);
            self.stored.restore(self.now_ms - age_ms);
        }
    }

    fn moment(&self) -> StoreMoment {
        StoreMoment {
            era: self.stored.era,
            at_ms: self.now_ms,
            own_ms: self.now_ms,
        }
    }

    /// Lets an instance that has just started read the history, if peers did not know more.
    pub fn read_history(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let services = instance.origins.services_for_history(self.now_ms);
        let is_needed = !services.is_empty() && instance.history_read_count < READ_MAX_COUNT;
        let may_read = instance.have_peers_started || self.instances.len() == 1;
        let instance = &mut self.instances[number];
        if !is_needed || !may_read || self.now_ms < instance.next_read_at_ms {
            return;
        }
        instance.next_read_at_ms = self.now_ms + READ_INTERVAL_MS;
        let is_reader = self.history_rng.random_range(0..=self.instances.len()) < READER_COUNT;
        let instance = &mut self.instances[number];
        let reads = is_reader && instance.presence.is_reachable(self.now_ms);
        if !reads || !self.plan.keeps_history || self.mutant == Mutant::ReadsNoHistory {
            return;
        }
        instance.history_read_count += 1;
        self.judge.history_read_count += 1;
        let mut moment = self.moment();
        if self.mutant == Mutant::TrustsYoungHistory {
            moment.at_ms += 3_600_000;
        }
        let history = self.stored.current();
        let origins = &mut self.instances[number].origins;
        origins.confirm_by_history(self.now_ms, SERVICE, (moment, &history));
    }

    /// Lets an instance check the history if it has to, and write it.
    pub fn keep_history(&mut self, number: usize) {
        if !self.plan.keeps_history {
            return;
        }
        let now_ms = self.now_ms;
        let moment = self.moment();
        let before = self.instances[..number].iter();
        let rank = before.filter(|other| other.presence.is_reachable(now_ms));
        let rank = rank.count() as u64;
        let instance = &mut self.instances[number];
        let statements = instance.origins.statements(now_ms);
        instance.duty.note(now_ms, moment.era, statements.clone());
        if !instance.presence.is_reachable(now_ms) || !instance.duty.is_due(now_ms, rank) {
            return;
        }
        instance.duty.done();
        self.judge.history_read_count += 1;
        if let Some(history) = self.stored.current().updated(moment, &statements) {
            self.judge.history_write_count += 1;
            self.stored.put(now_ms, history);
        }
    }
}
