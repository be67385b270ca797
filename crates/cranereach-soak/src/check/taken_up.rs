//! Checks that streams that callers take up go on nearly as often as new ones begin, as long as two
//! workers can go on with them.

use std::collections::HashSet;

use super::Finding;
use super::contact::RecordIndex;
use crate::events::StreamEvents;
use crate::record::End;
use crate::record::Event;
use crate::record::Kind;
use crate::record::Records;
use crate::record::RequestRecord;

/// Minimum number of judged take-ups.
pub const TAKE_UP_MIN_COUNT: usize = 12;

/// Number of workers that must be able to go on with a stream.
const SERVING_MIN_COUNT: usize = 2;

/// Share of the take-ups that go on, as a part of the share of the new streams that begin.
const GOES_ON_SHARE: f64 = 0.5;

/// Number of requests, and of those of them that brought an event or the end of their stream.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    total: usize,
    served: usize,
}

/// Judges all requests for streams that may be resumed, sent with valid keys to connected gateways.
pub fn check(records: &Records) -> Finding {
    let index = RecordIndex::new(records);
    let revoked = records.events.iter().filter_map(|event| match event {
        Event::Revoked { key, .. } => Some(*key),
        _ => None,
    });
    let revoked: HashSet<usize> = revoked.collect();
    let judged = records.asked.iter().filter(|record| {
        record.kind == Kind::Resumable
            && !revoked.contains(&record.key)
            && index.is_connected(record.gateway, record.sent_ms, record.ended_ms)
    });
    let (mut new, mut resumed) = (Count::default(), Count::default());
    for record in judged {
        match &record.take_up {
            None => new.add(record),
            Some(take_up) if take_up.serving_count >= SERVING_MIN_COUNT => resumed.add(record),
            Some(_) => {}
        }
    }
    if resumed.total < TAKE_UP_MIN_COUNT || new.total == 0 {
        return Finding::default();
    }
    let is_broken = resumed.share() < GOES_ON_SHARE * new.share();
    let message = || {
        format!(
            "{} of {} take-ups went on, {} of {} new streams began",
            resumed.served, resumed.total, new.served, new.total
        )
    };
    Finding {
        tried_count: resumed.total,
        violations: is_broken.then(message).into_iter().collect(),
    }
}

impl Count {
    /// Counts a request.
    fn add(&mut self, record: &RequestRecord) {
        self.total += 1;
        self.served += usize::from(is_served(record));
    }

    /// Returns the share of the requests that were served.
    fn share(self) -> f64 {
        self.served as f64 / self.total as f64
    }
}

/// Returns whether a request brought an event of its stream, or the end of it.
fn is_served(record: &RequestRecord) -> bool {
    let End::Answered(answer) = &record.end else {
        return false;
    };
    let has_event = || !StreamEvents::new(&answer.body).complete().is_empty();
    answer.status == 200 && (answer.is_whole || has_event())
}
