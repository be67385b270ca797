//! Counts what the rules are about.

use std::collections::BTreeMap;

/// What happened in a world.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    pub new_count: u64,
    pub new_begun_count: u64,
    /// Take-ups at instances in touch while two workers of their version served.
    pub fair_count: u64,
    pub fair_gone_on_count: u64,
    /// All take-ups.
    pub taken_up_count: u64,
    pub gone_on_count: u64,
    pub unknown_count: u64,
    pub version_gone_count: u64,
    pub mixed_stream_count: u64,
    /// Take-ups of streams that began before all instances were last killed.
    pub old_count: u64,
    pub old_gone_on_count: u64,
    /// Calls to the store.
    pub history_read_count: u64,
    pub history_write_count: u64,
    pub restart_count: u64,
    /// Messages sent, by second and by sender.
    pub messages_by_second: BTreeMap<u64, u64>,
    pub messages_by_sender: Vec<u64>,
    /// Largest number of notes at one instance at the end.
    pub note_max_count: usize,
}

impl Judge {
    pub fn new(instance_count: usize) -> Self {
        Self {
            messages_by_sender: vec![0; instance_count],
            ..Self::default()
        }
    }

    pub fn sent(&mut self, now_ms: u64, sender: usize) {
        *self.messages_by_second.entry(now_ms / 1_000).or_default() += 1;
        self.messages_by_sender[sender] += 1;
    }

    pub fn message_count(&self) -> u64 {
        self.messages_by_sender.iter().sum()
    }

    /// Messages sent after a time in seconds of the world.
    pub fn message_count_after(&self, second: u64) -> u64 {
        let later = self.messages_by_second.range(1_000 + second..);
        later.map(|(_, count)| count).sum()
    }

    /// Share of the take-ups that go on, as a multiple of the share of new streams that begin.
    pub fn fair_share(&self) -> f64 {
        let new = self.new_begun_count as f64 / self.new_count.max(1) as f64;
        let taken_up = self.fair_gone_on_count as f64 / self.fair_count.max(1) as f64;
        taken_up / new
    }

    pub fn summary(&self) -> String {
        format!(
            "new {}/{}, fair {}/{} (share {:.3}), all {}/{}, unknown {}, gone {}, mixed {}, \
             messages {}, most by one {}, notes {}",
            self.new_begun_count,
            self.new_count,
            self.fair_gone_on_count,
            self.fair_count,
            self.fair_share(),
            self.gone_on_count,
            self.taken_up_count,
            self.unknown_count,
            self.version_gone_count,
            self.mixed_stream_count,
            self.message_count(),
            self.messages_by_sender.iter().max().unwrap_or(&0),
            self.note_max_count,
        )
    }
}
