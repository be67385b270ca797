//! Positions in the history of the platform's store.
//!
//! A store restored from a backup has lost its last changes, and assigns their versions again. It
//! then starts a new era. Every position of an earlier era sorts before all of a later one.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Bits of a fencing token that hold the version; the era is in the bits above. The two together
/// fit into an integer of JSON.
const TOKEN_VERSION_BITS: u32 = 40;

/// An era of the store, and a version within it.
///
/// ```
/// use cranereach_fleet::store_position::StorePosition;
///
/// let before = StorePosition::new(1, 82);
/// let after = StorePosition::new(2, 58);
/// assert!(before < after);
/// assert!(StorePosition::default().is_none());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// How often the store has been restored from a backup; zero if it doesn't say.
    pub era: u64,
    /// Version, rising within the era. Zero comes before all changes; as the position of a row it
    /// means that there is no row.
    pub version: u64,
}

impl StorePosition {
    /// Creates the position of a version within an era.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }

    /// Returns the position before all changes of an era.
    pub const fn start_of(era: u64) -> Self {
        Self::new(era, 0)
    }

    /// Whether this is the position before anything was read.
    pub fn is_none(self) -> bool {
        self == Self::default()
    }

    /// Returns the fencing token for workers that compare orders by a single number: it rises with
    /// the position.
    ///
    /// ```
    /// use cranereach_fleet::store_position::StorePosition;
    ///
    /// assert_eq!(StorePosition::new(0, 41).token(), 41);
    /// assert!(StorePosition::new(1, 82).token() < StorePosition::new(2, 58).token());
    /// ```
    pub const fn token(self) -> u64 {
        self.era << TOKEN_VERSION_BITS | self.version
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}
