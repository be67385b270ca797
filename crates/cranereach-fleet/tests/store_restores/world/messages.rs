//! Messages between the simulated instances.

use rand::RngExt;
use rand::seq::IteratorRandom;

use super::DELAY_MAX_MS;
use super::DIGEST_INTERVAL_MS;
use super::FETCH_DELAY_MS;
use super::MESSAGE_LOSS_RATIO;
use super::Message;
use super::World;
use crate::instance::ListPart;
use cranereach_fleet::listing::Verdict;

impl World {
    pub(super) fn enqueue(&mut self, to: usize, after_ms: u64, message: Message) {
        let at_ms = self.now_ms + after_ms;
        self.in_flight.entry(at_ms).or_default().push((to, message));
    }

    pub(super) fn send_message(&mut self, from: usize, to: usize, after_ms: u64, message: Message) {
        if self.is_partitioned(from) || self.rng.random_bool(MESSAGE_LOSS_RATIO) {
            return;
        }
        let delay_ms = after_ms + self.rng.random_range(1..=DELAY_MAX_MS);
        self.enqueue(to, delay_ms, message);
    }

    pub(super) fn random_peers(&mut self, number: usize, count: usize) -> Vec<usize> {
        let others = (0..self.instances.len()).filter(|other| *other != number);
        others.sample(&mut self.rng, count)
    }

    /// Sends a digest of what it knows to some peers, four times a second.
    pub(super) fn send_digest_if_due(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        if now_ms < instance.next_digest_ms {
            return;
        }
        instance.next_digest_ms = now_ms + DIGEST_INTERVAL_MS;
        let age_ms = instance.freshness.age_ms(now_ms);
        let digest = Message::Digest {
            from: number,
            era: instance.era,
            position: instance.listing.position(),
            as_of_ms: age_ms.map(|age_ms| now_ms - age_ms),
            departures: instance
                .gossiped_departures
                .iter()
                .map(|(_, news)| *news)
                .collect(),
        };
        for other in self.random_peers(number, 4) {
            self.send_message(number, other, 0, digest.clone());
        }
    }

    pub(super) fn gossip_list(&mut self, number: usize) {
        let Some(part) = self.instances[number].part(self.now_ms, None) else {
            return;
        };
        for other in self.random_peers(number, 4) {
            self.send_message(number, other, 0, Message::List(number, part.clone()));
        }
    }

    pub(super) fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now_ms + 1));
        let due = std::mem::replace(&mut self.in_flight, later);
        for (to, message) in due.into_values().flatten() {
            if self.now_ms < self.instances[to].frozen_until_ms {
                // The message waits in the socket.
                let wait_ms = self.instances[to].frozen_until_ms - self.now_ms;
                self.enqueue(to, wait_ms, message);
            } else if !self.is_partitioned(to) {
                self.receive(to, message);
            }
        }
    }

    pub(super) fn receive(&mut self, to: usize, message: Message) {
        let now_ms = self.now_ms;
        match message {
            Message::Answer {
                started_at_ms,
                part,
            } => {
                let instance = &mut self.instances[to];
                let is_late = part.position.era < instance.era;
                if started_at_ms != instance.started_at_ms || is_late {
                    return;
                }
                instance.read_pending_until_ms = 0;
                instance.apply(now_ms, &part);
                self.gossip_list(to);
            }
            Message::List(from, part) => self.receive_list(to, from, &part),
            Message::Fetch(from, since) => {
                if let Some(part) = self.instances[to].part(now_ms, Some(since)) {
                    self.send_message(to, from, 0, Message::List(to, part));
                }
            }
            Message::Digest {
                from,
                era,
                position,
                as_of_ms,
                departures,
            } => {
                let instance = &mut self.instances[to];
                instance.observe_era(now_ms, era);
                instance.observe_departures(now_ms, &departures);
                let own = instance.listing.position();
                if let Some(as_of_ms) = as_of_ms
                    && position == own
                    && position.era >= instance.era
                {
                    instance.freshness.confirm(as_of_ms);
                }
                if position > own {
                    self.send_message(to, from, FETCH_DELAY_MS, Message::Fetch(to, own));
                }
            }
        }
    }

    pub(super) fn receive_list(&mut self, to: usize, from: usize, part: &ListPart) {
        let instance = &mut self.instances[to];
        let own = instance.listing.position();
        let fits = if part.is_whole {
            part.position >= own
        } else {
            instance.listing.judge(part.from, part.position, part.span) == Verdict::Applies
        };
        if !fits {
            if part.position > own {
                self.send_message(to, from, 0, Message::Fetch(to, own));
            }
            return;
        }
        if instance.apply(self.now_ms, part) {
            self.gossip_list(to);
        }
    }
}
