//! Use of an instance's processor and network link, from samples taken at a fixed interval.
//!
//! The capacity of the link need not be what is left of it: others may use it, and bytes that are
//! never read take room as well. So what callers send on new connections is also timed: if even the
//! fastest of them is late by more than ever lately, bytes wait somewhere on their way.

mod arrival_delays;

use std::collections::VecDeque;

use self::arrival_delays::ArrivalDelays;

/// Interval between two samples, in milliseconds.
pub const SAMPLE_INTERVAL_MS: u64 = 100;

/// Time over which a delay must last to count, in milliseconds. A processor share that is granted
/// in slices stands still for most of a slice without being overloaded.
const DELAY_WINDOW_MS: u64 = 300;

/// Share of the processor's time above which work begins to queue.
const BUSY_TARGET_SHARE: f64 = 0.9;

/// Share of the link above which bytes begin to queue.
const LINK_TARGET_SHARE: f64 = 0.8;

/// Share of the link above which delays on it are likely.
const LINK_FULL_SHARE: f64 = 0.9;

/// Upper limit of the pressure that a delay causes, so that one long pause is not taken for a
/// capacity close to zero.
const DELAY_PRESSURE_MAX: f64 = 4.0;

/// Weight of a new sample in the smoothed shares.
const SAMPLE_WEIGHT: f64 = 0.4;

/// Interval between two samples below which no rates are computed, in milliseconds.
const RATE_MIN_INTERVAL_MS: u64 = SAMPLE_INTERVAL_MS / 2;

/// Delay of what callers send above which the link counts as overloaded, in milliseconds.
const ARRIVAL_DELAY_TARGET_MS: u64 = 100;

/// Counters of an instance at one moment. Those without a time are totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Time of the sample, in milliseconds.
    pub at_ms: u64,
    /// Time by which the sample was taken later than planned, in milliseconds: the delay of
    /// everything else that was due.
    pub delay_ms: u64,
    /// Time for which the event loop was not idle, in microseconds.
    pub busy_us: u64,
    /// Bytes that left through the network link.
    pub sent_bytes: u64,
    /// Bytes that came in through it.
    pub received_bytes: u64,
}

/// What limits an instance at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Bottleneck {
    /// Its processor.
    Processor,
    /// Its network link.
    Link,
}

/// Load in relation to what the instance bears: above 1.0, work queues up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pressure {
    /// Level.
    pub level: f64,
    /// What it comes from.
    pub bottleneck: Bottleneck,
}

/// Load of an instance.
///
/// ```
/// use cranereach_core::overload::load::Load;
/// use cranereach_core::overload::load::Sample;
///
/// let mut load = Load::new(Some(1_000_000.0), 30);
/// for tenth in 0..20 {
///     load.add(Sample { at_ms: tenth * 100, sent_bytes: tenth * 95_000, ..Sample::default() });
/// }
/// assert!(load.pressure().level > 1.1);
/// assert!(load.is_link_full());
/// ```
#[derive(Clone, Debug)]
pub struct Load {
    link_bytes_per_s: Option<f64>,
    delay_target_ms: u64,
    last: Option<Sample>,
    busy_share: f64,
    link_share: f64,
    /// Times and delays of the latest samples, in milliseconds.
    delays: VecDeque<(u64, u64)>,
    arrival_delays: ArrivalDelays,
    /// Latest delay of what callers send, in milliseconds.
    arrival_delay_ms: u64,
}

impl Load {
    /// Creates the state for a link that carries this many bytes a second in each direction, if
    /// known, and for a delay that is tolerated, in milliseconds.
    pub fn new(link_bytes_per_s: Option<f64>, delay_target_ms: u64) -> Self {
        Self {
            link_bytes_per_s,
            delay_target_ms: delay_target_ms.max(1),
            last: None,
            busy_share: 0.0,
            link_share: 0.0,
            delays: VecDeque::new(),
            arrival_delays: ArrivalDelays::default(),
            arrival_delay_ms: 0,
        }
    }

    /// Adds the time from accepting a connection until its first bytes were read, in milliseconds.
    pub fn add_first_read(&mut self, now_ms: u64, took_ms: u64) {
        self.arrival_delays.add(now_ms, took_ms);
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Sample) {
        self.arrival_delay_ms = self.arrival_delays.excess_ms(sample.at_ms);
        self.add_delay(sample);
        let Some(last) = self.last else {
            self.last = Some(sample);
            return;
        };
        let interval_ms = sample.at_ms.saturating_sub(last.at_ms);
        if interval_ms < RATE_MIN_INTERVAL_MS {
            return;
        }
        self.last = Some(sample);
        let interval_ms = interval_ms as f64;
        let busy_ms = sample.busy_us.saturating_sub(last.busy_us) as f64 / 1_000.0;
        smooth(&mut self.busy_share, (busy_ms / interval_ms).min(1.0));
        let sent_bytes = sample.sent_bytes.saturating_sub(last.sent_bytes);
        let received_bytes = sample.received_bytes.saturating_sub(last.received_bytes);
        let bytes_per_s = sent_bytes.max(received_bytes) as f64 * 1_000.0 / interval_ms;
        let link_share = self.link_bytes_per_s.map_or(0.0, |link| bytes_per_s / link);
        smooth(&mut self.link_share, link_share);
    }

    /// Adds the delay of a sample; drops those that the window no longer covers, but for the last of
    /// them, which tells of its beginning.
    fn add_delay(&mut self, sample: Sample) {
        self.delays.push_back((sample.at_ms, sample.delay_ms));
        let from_ms = sample.at_ms.saturating_sub(DELAY_WINDOW_MS);
        while self
            .delays
            .get(1)
            .is_some_and(|(at_ms, _)| *at_ms <= from_ms)
        {
            self.delays.pop_front();
        }
    }

    /// Returns the delay that everything had over the whole window, in milliseconds.
    pub fn lasting_delay_ms(&self) -> u64 {
        let Some((last_at_ms, last_delay_ms)) = self.delays.back() else {
            return 0;
        };
        // The delay of a sample covers the time before it.
        let covered_from_ms = |(at_ms, delay_ms): &(u64, u64)| at_ms.saturating_sub(*delay_ms);
        let from_ms = self.delays.iter().map(covered_from_ms).min();
        let is_covered = from_ms.is_some_and(|from_ms| from_ms + DELAY_WINDOW_MS <= *last_at_ms);
        if !is_covered {
            return 0;
        }
        if *last_delay_ms >= DELAY_WINDOW_MS {
            return *last_delay_ms;
        }
        let delays_ms = self.delays.iter().map(|(_, delay_ms)| *delay_ms);
        delays_ms.min().unwrap_or_default()
    }

    /// Returns the share of the time for which the event loop is not idle.
    pub fn busy_share(&self) -> f64 {
        self.busy_share
    }

    /// Returns the share of the link that is in use, in the busier direction; zero if the
    /// capacity of the link is not known.
    pub fn link_share(&self) -> f64 {
        self.link_share
    }

    /// Returns by how much what callers send is late, in milliseconds.
    pub fn arrival_delay_ms(&self) -> u64 {
        self.arrival_delay_ms
    }

    /// Whether delays on the link are likely.
    pub fn is_link_full(&self) -> bool {
        self.link_share >= LINK_FULL_SHARE || self.arrival_delay_ms >= ARRIVAL_DELAY_TARGET_MS
    }

    /// Returns the load in relation to what the instance bears.
    pub fn pressure(&self) -> Pressure {
        let processor = self.processor_pressure();
        let link = self.link_pressure();
        if link > processor {
            Pressure {
                level: link,
                bottleneck: Bottleneck::Link,
            }
        } else {
            Pressure {
                level: processor,
                bottleneck: Bottleneck::Processor,
            }
        }
    }

    /// Returns the pressure on the link.
    fn link_pressure(&self) -> f64 {
        let by_share = self.link_share / LINK_TARGET_SHARE;
        if self.arrival_delay_ms < ARRIVAL_DELAY_TARGET_MS {
            return by_share;
        }
        let by_delay = self.arrival_delay_ms as f64 / ARRIVAL_DELAY_TARGET_MS as f64;
        by_share.max(by_delay.min(DELAY_PRESSURE_MAX))
    }

    /// Returns the pressure on the processor. A processor that is always busy is overloaded only if
    /// its work is late.
    fn processor_pressure(&self) -> f64 {
        let by_share = self.busy_share / BUSY_TARGET_SHARE;
        let delay_ms = self.lasting_delay_ms();
        if delay_ms < self.delay_target_ms {
            return by_share.min(1.0);
        }
        let by_delay = delay_ms as f64 / self.delay_target_ms as f64;
        by_share.max(by_delay.min(DELAY_PRESSURE_MAX))
    }
}

/// Adds a new value to an exponentially weighted average.
fn smooth(average: &mut f64, value: f64) {
    *average += SAMPLE_WEIGHT * (value - *average);
}
