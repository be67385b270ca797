//! Fencing tokens: the total order in which an upstream accepts orders.
//!
//! A fence is `(epoch, sequence)`. An upstream that checks fences refuses any
//! order whose fence isn't above the highest it has accepted, so a holder that was
//! paused can't act on a worker that a successor has sealed.
//!
//! ```
//! use cranereach_core::fence::{Epoch, Fence};
//!
//! let old = Fence { epoch: Epoch { major: 4, minor: 0, holder: 9 }, sequence: 70 };
//! let new = Fence { epoch: Epoch { major: 5, minor: 0, holder: 1 }, sequence: 1 };
//! assert!(new > old);
//! ```

use serde::Deserialize;
use serde::Serialize;

/// Identifies the term of one holder of a cell's lease.
///
/// `major` grows whenever the lease row gets a new holder. `minor` grows when a
/// successor takes over while the table is unreachable. `holder` breaks ties
/// between two successors that chose the same minor number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Number from the lease row in the table.
    pub major: u64,
    /// Number of takeovers without the table.
    pub minor: u32,
    /// Hash of the holder's identity.
    pub holder: u32,
}

/// Position of one order among all orders to a worker.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fence {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Number of the order within the term, from 1.
    pub sequence: u64,
}

/// Fence check of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGate {
    highest: Fence,
}

impl FenceGate {
    /// Accepts a fence that is above all previously accepted ones.
    ///
    /// ```
    /// use cranereach_core::fence::{Epoch, Fence, FenceGate};
    ///
    /// let mut gate = FenceGate::default();
    /// let fence = Fence { epoch: Epoch { major: 1, minor: 0, holder: 0 }, sequence: 1 };
    /// assert!(gate.admit(fence));
    /// assert!(!gate.admit(fence));
    /// ```
    pub fn admit(&mut self, fence: Fence) -> bool {
        let newer = fence > self.highest;
        if newer {
            self.highest = fence;
        }
        newer
    }

    /// Returns the highest fence accepted so far.
    pub fn highest(&self) -> Fence {
        self.highest
    }
}
