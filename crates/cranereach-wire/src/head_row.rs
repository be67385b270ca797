//! Table row that holds the accepted configuration versions.
//!
//! A change is accepted once the compare-and-set of this row has taken effect. If the answer
//! to that write is lost, the author looks for the id of the change in the history of the row.

use serde::Deserialize;
use serde::Serialize;

use cranereach_core::config::Head;

/// Key of the row in the table.
pub const HEAD_KEY: &str = "config-head";

/// Number of changes kept in the row, in which an author whose answer was lost finds the change.
pub const HISTORY_COUNT: usize = 64;

/// Accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Configuration version that the change created.
    pub version: u64,
    /// Random id chosen by the author of the change.
    pub change_id: String,
    /// BLAKE3 hash of the body of the configuration, in hex.
    pub hash: String,
}

/// Content of the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The latest accepted changes, at most [`HISTORY_COUNT`], oldest first.
    pub history: Vec<Accepted>,
}

impl HeadRow {
    /// Returns the latest accepted version, if there is one.
    pub fn head(&self) -> Option<Head> {
        self.history.last().map(|last| Head {
            version: last.version,
            hash: last.hash.clone(),
        })
    }

    /// Returns the row with one more accepted change, whose version is the next higher.
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

    /// Returns the accepted change with an id.
    pub fn find(&self, change_id: &str) -> Option<&Accepted> {
        self.history
            .iter()
            .find(|accepted| accepted.change_id == change_id)
    }
}
