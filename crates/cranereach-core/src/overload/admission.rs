//! Callers' connections that an instance has open, and its load.

use std::collections::HashMap;

use super::load::Load;
use super::load::Pressure;
use super::load::Sample;

/// What an instance has for its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// File descriptors.
    pub descriptor_count: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Bytes a second that the network link carries in each direction; `None` if not known.
    pub link_bytes_per_s: Option<f64>,
    /// Delay of the instance's own work above which its processor counts as overloaded, in
    /// milliseconds.
    pub delay_target_ms: u64,
}

/// Open connections of callers, and the load of the instance.
///
/// ```
/// use cranereach_core::overload::admission::ConnectionAdmission;
/// use cranereach_core::overload::admission::Resources;
///
/// let mut admission = ConnectionAdmission::new(Resources {
///     descriptor_count: 12,
///     memory_bytes: 1 << 30,
///     link_bytes_per_s: None,
///     delay_target_ms: 30,
/// });
/// let connection = admission.open();
/// admission.request_began(connection);
/// assert_eq!((admission.open_count(), admission.busy_count()), (1, 1));
/// admission.closed(connection);
/// assert_eq!((admission.open_count(), admission.busy_count()), (0, 0));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionAdmission {
    load: Load,
    /// Numbers of open requests by connection.
    connections: HashMap<u64, u32>,
    next_number: u64,
    busy_count: usize,
}

impl ConnectionAdmission {
    /// Creates the state of an instance without connections.
    pub fn new(resources: Resources) -> Self {
        Self {
            load: Load::new(resources.link_bytes_per_s, resources.delay_target_ms),
            connections: HashMap::new(),
            next_number: 0,
            busy_count: 0,
        }
    }

    /// Records a new connection and returns its number.
    pub fn open(&mut self) -> u64 {
        let connection = self.next_number;
        self.next_number += 1;
        self.connections.insert(connection, 0);
        connection
    }

    /// Records that a request begins on a connection.
    pub fn request_began(&mut self, number: u64) {
        if let Some(open_request_count) = self.connections.get_mut(&number) {
            *open_request_count += 1;
            self.busy_count += usize::from(*open_request_count == 1);
        }
    }

    /// Records that a request has ended.
    pub fn request_ended(&mut self, number: u64) {
        if let Some(open_request_count) = self.connections.get_mut(&number) {
            *open_request_count = open_request_count.saturating_sub(1);
            self.busy_count -= usize::from(*open_request_count == 0);
        }
    }

    /// Records that a connection has been closed.
    pub fn closed(&mut self, number: u64) {
        let open_request_count = self.connections.remove(&number);
        self.busy_count -= usize::from(open_request_count.is_some_and(|count| count > 0));
    }

    /// Adds a sample of the load.
    pub fn sample(&mut self, sample: Sample) {
        self.load.add(sample);
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections with an open request.
    pub fn busy_count(&self) -> usize {
        self.busy_count
    }

    /// Returns the load of the instance.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Returns the load in relation to what the instance bears.
    pub fn pressure(&self) -> Pressure {
        self.load.pressure()
    }
}
