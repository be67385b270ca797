//! The row that says which configuration is accepted, and how a change is.
//!
//! Accepted means: the compare-and-set of this row took effect. A lost answer
//! is settled by looking for the change's identity in the row's history.

use serde::Deserialize;
use serde::Serialize;

use cranereach_core::config::Head;

/// Key of the row in the table.
pub const HEAD_KEY: &str = "config-head";

/// Changes that the row remembers, to settle lost answers.
pub const HISTORY_COUNT: usize = 64;

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that the change made.
    pub version: u64,
    /// Random identity that its author gave it.
    pub change_id: String,
    /// BLAKE3 of the body, in hex.
    pub hash: String,
}

/// The row: accepted changes, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// At most [`HISTORY_COUNT`] changes.
    pub history: Vec<Accepted>,
}

impl HeadRow {
    /// Returns the head in force, if any change was ever accepted.
    pub fn head(&self) -> Option<Head> {
        self.history.last().map(|last| Head {
            version: last.version,
            hash: last.hash.clone(),
        })
    }

    /// Returns the row after one more change.
    ///
    /// ```
    /// use cranereach_wire::head_row::HeadRow;
    ///
    /// let row = HeadRow::default().with("c1", "hash");
    /// assert_eq!(row.head().unwrap().version, 1);
    /// assert!(row.find("c1").is_some());
    /// ```
    #[must_use]
    pub fn with(&self, change_id: &str, hash: &str) -> Self {
        let version = self.head().map_or(0, |head| head.version) + 1;
        let accepted = Accepted {
            version,
            change_id: change_id.to_owned(),
            hash: hash.to_owned(),
        };
        let keep_from = (self.history.len() + 1).saturating_sub(HISTORY_COUNT);
        let mut history = self.history[keep_from..].to_vec();
        history.push(accepted);
        Self { history }
    }

    /// Returns the accepted change of an identity.
    pub fn find(&self, change_id: &str) -> Option<&Accepted> {
        self.history
            .iter()
            .find(|accepted| accepted.change_id == change_id)
    }
}
