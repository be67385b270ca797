//! Joins the requests with which a caller asked for one stream: the one that brought its first
//! event, and those that took it up.

use std::collections::HashMap;

use crate::events::StreamEvent;
use crate::events::StreamEvents;
use crate::record::Answer;
use crate::record::End;
use crate::record::Records;
use crate::record::RequestRecord;

/// A stream as its caller got it over all tries.
#[derive(Debug)]
pub struct ClientStream<'a> {
    /// Requests for it, in the order in which they were sent.
    pub tries: Vec<&'a RequestRecord>,
}

impl<'a> ClientStream<'a> {
    /// Returns the streams of all callers, in the order of their first requests.
    pub fn all(records: &'a Records) -> Vec<Self> {
        let mut take_ups: HashMap<&str, Vec<&RequestRecord>> = HashMap::new();
        for record in &records.asked {
            if let Some(take_up) = &record.take_up {
                let of_stream = take_ups.entry(take_up.first_id.as_str()).or_default();
                of_stream.push(record);
            }
        }
        let firsts = records.asked.iter();
        let firsts = firsts.filter(|record| record.kind.is_stream() && record.take_up.is_none());
        let streams = firsts.map(|first| {
            let mut tries = take_ups.remove(first.id.as_str()).unwrap_or_default();
            tries.sort_by_key(|record| record.sent_ms);
            tries.insert(0, first);
            Self { tries }
        });
        streams.collect()
    }

    /// Returns the ID of the request that brought the first event.
    pub fn id(&self) -> &'a str {
        &self.tries[0].id
    }

    /// Returns the successful answers with the requests that got them, in order.
    pub fn answers(&self) -> impl Iterator<Item = (&'a RequestRecord, &'a Answer)> {
        let tries = self.tries.iter().copied();
        tries.filter_map(|record| match &record.end {
            End::Answered(answer) if answer.status == 200 => Some((record, answer)),
            End::Answered(_) | End::Closed | End::GaveUp => None,
        })
    }

    /// Returns the complete events over all tries.
    pub fn events(&self) -> Vec<StreamEvent<'a>> {
        let bodies = self.answers();
        let events = bodies.flat_map(|(_record, answer)| {
            StreamEvents::new(&answer.body).events.unwrap_or_default()
        });
        events.collect()
    }
}
