//! Which instances run, and what others know of that.

use std::net::Ipv4Addr;

use super::World;
use super::address;
use cranereach_fleet::topology::DomainTag;

/// Time after which an instance that comes back is known to the others.
const JOIN_MS: u64 = 500;

/// Time after which a silent instance counts as dead.
const LIVENESS_TIMEOUT_MS: u64 = 3_000;

/// Number of failure domains.
const DOMAIN_COUNT: usize = 3;

/// When an instance runs and is connected.
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
#[derive(Clone, Copy, Debug, Default)]
pub struct Presence {
    down_from_ms: u64,
    down_until_ms: u64,
    cut_from_ms: u64,
    cut_until_ms: u64,
}

impl Presence {
    pub fn since_long() -> Self {
        Self::default()
    }

    pub fn kill(&mut self, now_ms: u64, until_ms: u64) {
        if now_ms >= self.down_until_ms {
            self.down_from_ms = now_ms;
        }
        self.down_until_ms = until_ms;
    }

    pub fn cut(&mut self, now_ms: u64, until_ms: u64) {
        if now_ms >= self.cut_until_ms {
            self.cut_from_ms = now_ms;
        }
        self.cut_until_ms = until_ms;
    }

    pub fn is_running(&self, now_ms: u64) -> bool {
        now_ms >= self.down_until_ms
    }

    pub fn is_reachable(&self, now_ms: u64) -> bool {
        self.is_running(now_ms) && now_ms >= self.cut_until_ms
    }

    pub fn cut_for_ms(&self, now_ms: u64) -> u64 {
        if now_ms < self.cut_until_ms {
            now_ms - self.cut_from_ms
        } else {
            0
        }
    }

    /// Whether it has been undisturbed for some seconds.
    pub fn is_in_touch(&self, now_ms: u64) -> bool {
        now_ms >= self.down_until_ms.max(self.cut_until_ms) + 3_000
    }

    /// Whether others take it to be alive.
    fn seems_alive(&self, now_ms: u64) -> bool {
        if self.is_reachable(now_ms) {
            return now_ms >= self.down_until_ms.max(self.cut_until_ms) + JOIN_MS;
        }
        let mut from_ms = now_ms;
        if now_ms < self.down_until_ms {
            from_ms = from_ms.min(self.down_from_ms);
        }
        if now_ms < self.cut_until_ms {
            from_ms = from_ms.min(self.cut_from_ms);
        }
        now_ms - from_ms < LIVENESS_TIMEOUT_MS
    }
}

impl World {
    fn seems_alive_to(&self, number: usize, other: usize) -> bool {
        if number == other {
            return true;
        }
        let viewer = &self.instances[number].presence;
        // Whoever is cut off takes all others for dead after a while.
        viewer.cut_for_ms(self.now_ms) < LIVENESS_TIMEOUT_MS
            && self.instances[other].presence.seems_alive(self.now_ms)
    }

    /// Lists the members that an instance takes to be alive, itself included.
    pub fn members_seen_by(&self, number: usize) -> Vec<(Ipv4Addr, DomainTag)> {
        let domains = ["a", "b", "c"].map(DomainTag::of);
        (0..self.instances.len())
            .filter(|other| self.seems_alive_to(number, *other))
            .map(|other| (address(other), domains[other % DOMAIN_COUNT]))
            .collect()
    }

    /// Returns a value that changes with the members that an instance takes to be alive.
    pub fn member_hash(&self, number: usize) -> u64 {
        let alive = (0..self.instances.len()).filter(|other| self.seems_alive_to(number, *other));
        alive.fold(1, |hash: u64, other| {
            hash.wrapping_add((other as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15))
        })
    }
}
