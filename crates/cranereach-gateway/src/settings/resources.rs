//! What an instance has for its work.

use serde::Deserialize;
use serde::Serialize;

use cranereach_core::overload::admission::Resources;
use cranereach_http::system;

/// Bytes in a megabyte.
const MEGABYTE: f64 = 1_000_000.0;

/// Bits in a byte.
const BITS_PER_BYTE: f64 = 8.0;

/// What an instance has for its work. A value that isn't set is read from the system.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceSettings {
    /// Memory, in megabytes.
    pub memory_mb: Option<f64>,
    /// Number of file descriptors.
    pub descriptor_count: Option<f64>,
    /// Capacity of the network link in each direction, in megabits a second. If neither this nor
    /// the system tells, the use of the link is not limited.
    pub link_mbps: Option<f64>,
    /// Delay of the instance's own work above which its processor counts as overloaded, in
    /// milliseconds.
    pub delay_target_ms: u64,
}

impl Default for ResourceSettings {
    fn default() -> Self {
        Self {
            memory_mb: None,
            descriptor_count: None,
            link_mbps: None,
            delay_target_ms: 30,
        }
    }
}

impl ResourceSettings {
    /// Checks that the values are in range. Otherwise returns the key of the first one that is not.
    pub(super) fn check(&self) -> Result<(), &'static str> {
        let values = [
            ("memory_mb", self.memory_mb),
            ("descriptor_count", self.descriptor_count),
            ("link_mbps", self.link_mbps),
            ("delay_target_ms", Some(self.delay_target_ms as f64)),
        ];
        let bad = values
            .into_iter()
            .find(|(_, value)| value.is_some_and(|value| value <= 0.0));
        bad.map_or(Ok(()), |(key, _)| Err(key))
    }

    /// Returns the resources, with those that aren't set as the system tells them.
    pub fn resources(&self) -> Resources {
        let memory_bytes = self
            .memory_mb
            .map(|megabytes| (megabytes * MEGABYTE) as u64);
        let link_mbps = self.link_mbps.or_else(system::link_mbps);
        Resources {
            descriptor_count: self
                .descriptor_count
                .map_or_else(system::descriptor_count, |count| count as u64),
            memory_bytes: memory_bytes
                .or_else(system::memory_bytes)
                .unwrap_or(u64::MAX),
            link_bytes_per_s: link_mbps.map(|mbps| mbps * MEGABYTE / BITS_PER_BYTE),
            delay_target_ms: self.delay_target_ms,
        }
    }
}
