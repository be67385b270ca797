//! Replay protection: rejects messages that were received before or come from an earlier boot
//! of the sender.

use std::collections::HashMap;

use cranereach_core::names::InstanceId;

/// Size of the reorder window: a message that is this many sequence numbers or more behind the
/// highest is dropped.
const REORDER_WINDOW_COUNT: u64 = 64;

/// State for one sender.
#[derive(Clone, Copy, Debug)]
struct SenderState {
    boot_id: u64,
    highest: u64,
    /// Bitmap of received messages; bit `n` is for the sequence number `highest - n`.
    window: u64,
}

/// Replay protection for all senders.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    senders: HashMap<InstanceId, SenderState>,
}

impl ReplayGuard {
    /// Checks whether a message is new, and records it if so.
    ///
    /// ```
    /// use cranereach_wire::replay::ReplayGuard;
    ///
    /// let mut guard = ReplayGuard::default();
    /// assert!(guard.admit(&"a".into(), 1, 5));
    /// assert!(!guard.admit(&"a".into(), 1, 5));
    /// assert!(guard.admit(&"a".into(), 1, 4));
    /// assert!(guard.admit(&"a".into(), 2, 1));
    /// assert!(!guard.admit(&"a".into(), 1, 6));
    /// ```
    pub fn admit(&mut self, sender: &InstanceId, boot_id: u64, sequence: u64) -> bool {
        let fresh = SenderState {
            boot_id,
            highest: sequence,
            window: 1,
        };
        let Some(seen) = self.senders.get_mut(sender) else {
            self.senders.insert(sender.clone(), fresh);
            return true;
        };
        if boot_id != seen.boot_id {
            let is_later_boot = boot_id > seen.boot_id;
            if is_later_boot {
                *seen = fresh;
            }
            return is_later_boot;
        }
        seen.admit(sequence)
    }
}

impl SenderState {
    /// Checks whether a sequence number is new within the window, and records it if so.
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.window = if ahead < REORDER_WINDOW_COUNT {
                (self.window << ahead) | 1
            } else {
                1
            };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= REORDER_WINDOW_COUNT || self.window & (1 << behind) != 0 {
            return false;
        }
        self.window |= 1 << behind;
        true
    }
}
