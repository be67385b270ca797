//! Predicts the longest pause in a worker's streams, which the prefill of prompts causes.
//!
//! A worker's engine runs in steps. Each step decodes one token of every running answer, and
//! prefills waiting prompts, up to a chunk. An event that holds several tokens takes as many steps,
//! so the pause between two events is the largest total duration of that many consecutive steps:
//! prompts that are spread over several steps cause shorter pauses than the same prompts at once.

/// Timing of a worker's steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepTiming {
    /// Steps per event, which is the number of tokens that an event holds.
    pub event_steps: usize,
    /// Duration of a step without prefill, in milliseconds.
    pub step_ms: f64,
    /// Maximum prefill time in one step, in milliseconds; infinite if unknown.
    pub chunk_ms: f64,
}

/// A prompt that arrives at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time of arrival, in milliseconds.
    pub at_ms: f64,
    /// Prefill time of the prompt, in milliseconds.
    pub reading_ms: f64,
    /// Time at which its prefill is known to have been complete, in milliseconds; none if it isn't
    /// known to be.
    pub read_at_ms: Option<f64>,
}

/// When a prompt is to be sent, and the pause that results.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ScheduledSend {
    /// Time to send it, in milliseconds.
    pub at_ms: f64,
    /// Longest predicted pause from then on, in milliseconds.
    pub pause_ms: f64,
}

/// Maximum number of send times that are tried for one prompt.
const CANDIDATE_MAX_COUNT: usize = 64;

/// Maximum number of steps simulated for one prediction, which covers several seconds of prefill.
const STEP_MAX_COUNT: usize = 512;

/// Start and end of one step, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Step {
    starts_ms: f64,
    ends_ms: f64,
}

/// Simulates a worker's steps from its first prompt until all are prefilled and the steps of one
/// more event have passed.
fn steps(stepping: &StepTiming, arrivals: &[Arrival]) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::with_capacity(arrivals.len() * 2 + stepping.event_steps);
    let mut waiting: Vec<Arrival> = Vec::new();
    let mut upcoming = arrivals.iter().copied().peekable();
    let mut now_ms = arrivals.first().map_or(0.0, |first| first.at_ms);
    let mut idle_count = 0;
    while steps.len() < STEP_MAX_COUNT {
        while let Some(arrival) = upcoming.next_if(|arrival| arrival.at_ms <= now_ms) {
            waiting.push(arrival);
        }
        waiting.retain(|prompt| prompt.read_at_ms.is_none_or(|read_ms| read_ms > now_ms));
        let prefill_ms = prefill(&mut waiting, stepping.chunk_ms);
        let ends_ms = now_ms + stepping.step_ms + prefill_ms;
        steps.push(Step {
            starts_ms: now_ms,
            ends_ms,
        });
        now_ms = ends_ms;
        idle_count = if prefill_ms > 0.0 { 0 } else { idle_count + 1 };
        if idle_count >= stepping.event_steps {
            // A whole event has passed without prefill: skip to the next prompt.
            let Some(next) = upcoming.peek() else {
                break;
            };
            now_ms = now_ms.max(next.at_ms);
        }
    }
    steps
}

/// Prefills the waiting prompts in order of arrival for at most `chunk_ms`; returns the time used.
fn prefill(waiting: &mut Vec<Arrival>, chunk_ms: f64) -> f64 {
    let mut budget_ms = chunk_ms;
    let mut prefill_ms = 0.0;
    for arrival in waiting.iter_mut() {
        let part_ms = arrival.reading_ms.min(budget_ms);
        arrival.reading_ms -= part_ms;
        budget_ms -= part_ms;
        prefill_ms += part_ms;
    }
    waiting.retain(|arrival| arrival.reading_ms > 0.0);
    prefill_ms
}

/// Returns the longest pause in streams that ends after `from_ms`, in milliseconds, if prompts
/// arrive as listed, in order of time.
///
/// ```
/// use cranereach_fleet::pause_prediction::Arrival;
/// use cranereach_fleet::pause_prediction::StepTiming;
/// use cranereach_fleet::pause_prediction::longest_ms;
///
/// let stepping = StepTiming { event_steps: 3, step_ms: 10.0, chunk_ms: 200.0 };
/// let prompt = |at_ms| Arrival { at_ms, reading_ms: 100.0, read_at_ms: None };
/// // All at once: three full chunks.
/// assert_eq!(longest_ms(&stepping, &[prompt(0.0); 8], 0.0), 630.0);
/// // One after the other, with a gap between.
/// let spread: Vec<_> = (0..8).map(|number| prompt(f64::from(number) * 150.0)).collect();
/// assert!(longest_ms(&stepping, &spread, 0.0) < 300.0);
/// ```
pub fn longest_ms(stepping: &StepTiming, arrivals: &[Arrival], from_ms: f64) -> f64 {
    let steps = steps(stepping, arrivals);
    let events = steps.windows(stepping.event_steps.max(1));
    let lengths = events.filter_map(|event| {
        let last = event.last()?;
        let length_ms = event.iter().map(|step| step.ends_ms - step.starts_ms).sum();
        (last.ends_ms > from_ms).then_some(length_ms)
    });
    lengths.fold(0.0, f64::max)
}

/// Finds the earliest time from now on at which sending a prompt makes no stream pause for longer
/// than a limit; if there is none, the time with the shortest pause of those tried.
///
/// A prompt that exceeds the limit by itself is placed where it doesn't overlap with others.
pub fn find_send_time(
    stepping: &StepTiming,
    arrivals: &[Arrival],
    now_ms: f64,
    reading_ms: f64,
    limit_ms: f64,
) -> ScheduledSend {
    let alone_ms = reading_ms.min(stepping.chunk_ms * stepping.event_steps as f64)
        + stepping.step_ms * stepping.event_steps as f64;
    let allowed_ms = limit_ms.max(alone_ms + stepping.step_ms);
    let candidates = steps(stepping, arrivals).into_iter();
    let candidates = candidates.flat_map(|step| [step.starts_ms, step.ends_ms]);
    let candidates = candidates.filter(|at_ms| *at_ms > now_ms);
    let mut with_prompt = arrivals.to_vec();
    let mut best: Option<ScheduledSend> = None;
    let mut last_tried_ms = f64::NEG_INFINITY;
    for at_ms in std::iter::once(now_ms)
        .chain(candidates)
        .take(CANDIDATE_MAX_COUNT)
    {
        if at_ms <= last_tried_ms {
            continue;
        }
        last_tried_ms = at_ms;
        let index = arrivals.partition_point(|arrival| arrival.at_ms <= at_ms);
        with_prompt.insert(
            index,
            Arrival {
                at_ms,
                reading_ms,
                read_at_ms: None,
            },
        );
        let pause_ms = longest_ms(stepping, &with_prompt, at_ms);
        with_prompt.remove(index);
        if pause_ms <= allowed_ms {
            return ScheduledSend { at_ms, pause_ms };
        }
        if best.is_none_or(|best| pause_ms < best.pause_ms) {
            best = Some(ScheduledSend { at_ms, pause_ms });
        }
    }
    best.unwrap_or(ScheduledSend {
        at_ms: now_ms,
        pause_ms: allowed_ms,
    })
}
