//! When prompts are sent to one worker, so that its streams don't pause for too long.
//!
//! The worker's owner keeps what has reached the worker lately and what is to reach it,
//! and gives each prompt the first place at which no stream pauses by it.

use crate::pauses;
use crate::pauses::Arrival;
use crate::pauses::Place;
use crate::pauses::Stepping;

/// Time of a step in which nothing is read, in milliseconds: large models make a token
/// in 10 to 13.
const DECODE_STEP_MS: f64 = 13.0;

/// Share of the longest pause up to which prompts are planned: what is read may take a
/// little longer than predicted.
const PAUSE_BUDGET_SHARE: f64 = 0.8;

/// Time for which prompts count after they have reached the worker, in milliseconds.
const ARRIVAL_RETENTION_MS: f64 = 2_000.0;

/// Prompts that are remembered at most.
const ARRIVAL_MAX_COUNT: usize = 128;

/// Reading time below which a prompt makes no pause, in milliseconds.
const NEGLIGIBLE_READING_MS: f64 = 1.0;

/// A prompt in the plan, and whose it is.
#[derive(Clone, Copy, Debug)]
struct PlannedPrompt {
    ticket: (u32, u64),
    arrival: Arrival,
}

/// The prompts that reach one worker.
#[derive(Clone, Debug, Default)]
pub struct ReadingPlan {
    /// In the order of time.
    planned: Vec<PlannedPrompt>,
    /// Longest pause that streams may make, in milliseconds; zero where any will do.
    gap_aim_ms: f64,
    event_steps: usize,
}

impl ReadingPlan {
    /// Takes what the worker's streams allow: the longest pause, in milliseconds (zero
    /// for any), and the tokens of an event.
    pub fn allow(&mut self, gap_aim_ms: f64, event_tokens: u32) {
        self.gap_aim_ms = gap_aim_ms;
        self.event_steps = event_tokens.max(1) as usize;
    }

    /// Returns what comes of a prompt that is sent at once.
    pub fn at_once(&self, now_ms: u64, reading_ms: f64) -> Place {
        let at_ms = now_ms as f64;
        if self.gap_aim_ms <= 0.0 {
            return Place {
                at_ms,
                pause_ms: 0.0,
            };
        }
        let mut arrivals: Vec<Arrival> = self.planned.iter().map(|prompt| prompt.arrival).collect();
        let index = arrivals.partition_point(|arrival| arrival.at_ms <= at_ms);
        arrivals.insert(
            index,
            Arrival {
                at_ms,
                reading_ms,
                read_at_ms: None,
            },
        );
        Place {
            at_ms,
            pause_ms: pauses::longest_ms(&self.stepping(), &arrivals, at_ms),
        }
    }

    /// Returns the place of a prompt that takes a time to read; at once where streams
    /// may pause for any time.
    pub fn place(&self, now_ms: u64, reading_ms: f64) -> Place {
        let now_ms = now_ms as f64;
        if self.gap_aim_ms <= 0.0 || reading_ms < NEGLIGIBLE_READING_MS {
            return Place {
                at_ms: now_ms,
                pause_ms: 0.0,
            };
        }
        let stepping = self.stepping();
        let arrivals: Vec<Arrival> = self.planned.iter().map(|prompt| prompt.arrival).collect();
        let limit_ms = self.gap_aim_ms * PAUSE_BUDGET_SHARE;
        pauses::place(&stepping, &arrivals, now_ms, reading_ms, limit_ms)
    }

    /// Notes a prompt that reaches the worker at a time.
    pub fn sent(&mut self, now_ms: u64, ticket: (u32, u64), at_ms: f64, reading_ms: f64) {
        let cutoff_ms = now_ms as f64 - ARRIVAL_RETENTION_MS;
        self.planned
            .retain(|prompt| prompt.arrival.at_ms > cutoff_ms);
        if reading_ms < NEGLIGIBLE_READING_MS || self.planned.len() >= ARRIVAL_MAX_COUNT {
            return;
        }
        let arrival = Arrival {
            at_ms,
            reading_ms,
            read_at_ms: None,
        };
        let before = |prompt: &PlannedPrompt| prompt.arrival.at_ms <= at_ms;
        let index = self.planned.partition_point(before);
        self.planned
            .insert(index, PlannedPrompt { ticket, arrival });
    }

    /// Notes that a prompt has been read.
    pub fn read(&mut self, now_ms: u64, ticket: (u32, u64)) {
        let mut matching = self
            .planned
            .iter_mut()
            .filter(|prompt| prompt.ticket == ticket);
        if let Some(planned) = matching.next() {
            let now_ms = now_ms as f64;
            let arrival = &mut planned.arrival;
            // It can't have taken longer than from its arrival until now.
            arrival.reading_ms = arrival.reading_ms.min((now_ms - arrival.at_ms).max(0.0));
            arrival.read_at_ms = Some(now_ms);
        }
    }

    /// Forgets a prompt that never reaches the worker, or that isn't read to its end.
    pub fn ended(&mut self, now_ms: u64, ticket: (u32, u64)) {
        let now_ms = now_ms as f64;
        let has_arrived = |prompt: &PlannedPrompt| prompt.arrival.at_ms <= now_ms;
        self.planned
            .retain(|prompt| prompt.ticket != ticket || has_arrived(prompt));
        let mut matching = self
            .planned
            .iter_mut()
            .filter(|prompt| prompt.ticket == ticket);
        if let Some(planned) = matching.next() {
            planned.arrival.read_at_ms.get_or_insert(now_ms);
        }
    }

    /// Returns how the worker makes its steps, as far as it is known.
    fn stepping(&self) -> Stepping {
        Stepping {
            event_steps: self.event_steps.max(1),
            step_ms: DECODE_STEP_MS,
            chunk_ms: f64::INFINITY,
        }
    }
}
