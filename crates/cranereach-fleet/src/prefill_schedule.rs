//! Schedules the prompts sent to one worker so that prefill doesn't pause its streams for
//! too long.
//!
//! The worker's owner keeps the prompts that reached the worker recently and those still
//! scheduled, and gives each new prompt the earliest time at which no stream pauses for too
//! long because of it. Reading a prompt means its prefill.

use crate::pause_prediction;
use crate::pause_prediction::Arrival;
use crate::pause_prediction::ScheduledSend;
use crate::pause_prediction::StepTiming;

/// Time of a decode step without any prefill, in milliseconds: large models take 10 to 13
/// ms per token.
const DECODE_STEP_MS: f64 = 13.0;

/// Share of the longest allowed pause that the schedule may use, because prefill may take
/// slightly longer than predicted.
const PAUSE_BUDGET_SHARE: f64 = 0.8;

/// Time for which prompts are kept after they reached the worker, in milliseconds.
const ARRIVAL_RETENTION_MS: f64 = 2_000.0;

/// Maximum number of prompts kept.
const ARRIVAL_MAX_COUNT: usize = 128;

/// Prefill time below which a prompt causes no pause, in milliseconds.
const NEGLIGIBLE_PREFILL_MS: f64 = 1.0;

/// A scheduled prompt, and the ticket of the request it belongs to.
#[derive(Clone, Copy, Debug)]
struct PlannedPrompt {
    ticket: (u32, u64),
    arrival: Arrival,
}

/// Prompt schedule of one worker.
#[derive(Clone, Debug, Default)]
pub struct PrefillSchedule {
    /// Sorted by arrival time.
    planned: Vec<PlannedPrompt>,
    /// Longest allowed pause in a stream, in milliseconds; zero for no limit.
    gap_aim_ms: f64,
    event_steps: usize,
}

impl PrefillSchedule {
    /// Sets what the worker's streams allow: the longest pause in milliseconds (zero for no
    /// limit) and the number of tokens per event.
    pub fn set_limits(&mut self, gap_aim_ms: f64, event_tokens: u32) {
        self.gap_aim_ms = gap_aim_ms;
        self.event_steps = event_tokens.max(1) as usize;
    }

    /// Returns the longest pause that results if a prompt is sent immediately.
    pub fn at_once(&self, now_ms: u64, reading_ms: f64) -> ScheduledSend {
        let at_ms = now_ms as f64;
        if self.gap_aim_ms <= 0.0 {
            return ScheduledSend {
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
        ScheduledSend {
            at_ms,
            pause_ms: pause_prediction::longest_ms(&self.stepping(), &arrivals, at_ms),
        }
    }

    /// Returns the earliest suitable time for a prompt with the given prefill time; now if
    /// pauses are not limited.
    pub fn find_send_time(&self, now_ms: u64, reading_ms: f64) -> ScheduledSend {
        let now_ms = now_ms as f64;
        if self.gap_aim_ms <= 0.0 || reading_ms < NEGLIGIBLE_PREFILL_MS {
            return ScheduledSend {
                at_ms: now_ms,
                pause_ms: 0.0,
            };
        }
        let stepping = self.stepping();
        let arrivals: Vec<Arrival> = self.planned.iter().map(|prompt| prompt.arrival).collect();
        let limit_ms = self.gap_aim_ms * PAUSE_BUDGET_SHARE;
        pause_prediction::find_send_time(&stepping, &arrivals, now_ms, reading_ms, limit_ms)
    }

    /// Records a prompt that reaches the worker at a given time.
    pub fn sent(&mut self, now_ms: u64, ticket: (u32, u64), at_ms: f64, reading_ms: f64) {
        let cutoff_ms = now_ms as f64 - ARRIVAL_RETENTION_MS;
        self.planned
            .retain(|prompt| prompt.arrival.at_ms > cutoff_ms);
        if reading_ms < NEGLIGIBLE_PREFILL_MS || self.planned.len() >= ARRIVAL_MAX_COUNT {
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

    /// Records that the prefill of a prompt is complete.
    pub fn read(&mut self, now_ms: u64, ticket: (u32, u64)) {
        let mut matching = self
            .planned
            .iter_mut()
            .filter(|prompt| prompt.ticket == ticket);
        if let Some(planned) = matching.next() {
            let now_ms = now_ms as f64;
            let arrival = &mut planned.arrival;
            // The prefill can't have taken longer than the time since the prompt's arrival.
            arrival.reading_ms = arrival.reading_ms.min((now_ms - arrival.at_ms).max(0.0));
            arrival.read_at_ms = Some(now_ms);
        }
    }

    /// Drops a prompt that never reaches the worker; one that has reached it is marked as
    /// prefilled, since its request has ended.
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

    /// Returns the parameters of the worker's steps, as far as they are known.
    fn stepping(&self) -> StepTiming {
        StepTiming {
            event_steps: self.event_steps.max(1),
            step_ms: DECODE_STEP_MS,
            chunk_ms: f64::INFINITY,
        }
    }
}
