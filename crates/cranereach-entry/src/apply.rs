//! Applies a changed configuration: stores the body, then commits the head row.
//!
//! A change is accepted when the compare-and-set of the head row has taken
//! effect. If the answer to it is lost, the change's id is looked up in the row.
//! Repeating the write is safe because its version condition can hold at most
//! once.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;

use crate::platform::StoreError;
use crate::platform::objects::Objects;
use crate::platform::table::Table;
use crate::platform::table::Versioned;
use cranereach_core::codes::ResultCode;
use cranereach_core::config::Head;
use cranereach_core::snapshot::Snapshot;
use cranereach_wire::folder::Folder;
use cranereach_wire::head_row::Accepted;
use cranereach_wire::head_row::HEAD_KEY;
use cranereach_wire::head_row::HeadRow;

/// Attempts to commit a change, or to find out whether a commit whose answer was
/// lost took effect.
const COMMIT_ATTEMPTS: u32 = 10;

/// Pause between two such attempts, in milliseconds.
const COMMIT_RETRY_PAUSE_MS: u64 = 500;

/// Reason why a change was not accepted, or may not have been.
#[derive(Debug, Error)]
pub enum ApplyError {
    /// Another change to the same files was accepted first.
    #[error(
        "version {version} was accepted first and changes the same files: {}; pull, merge, and apply again",
        join_names(files)
    )]
    RaceLost {
        /// Version of the change accepted first.
        version: u64,
        /// Files that both changes modify.
        files: BTreeSet<String>,
    },
    /// The stores could not be read or written as needed; the change was not accepted.
    #[error("no change was accepted: {detail}")]
    StoreUnavailable {
        /// Cause of the failure.
        detail: String,
    },
    /// The commit was sent, but its outcome could not be read.
    #[error(
        "change {change_id} may have been accepted: {detail}; run `cranereach status --change {change_id}` once the table is reachable again"
    )]
    AcceptanceUnknown {
        /// Id of the change.
        change_id: String,
        /// Cause of the failure.
        detail: String,
    },
    /// The merged declarations are invalid.
    #[error("the declarations are invalid when merged with version {version}: {faults}")]
    MergedFaults {
        /// Version that the change was merged with.
        version: u64,
        /// The faults, joined to one line.
        faults: String,
        /// Result code of the first fault.
        code: ResultCode,
    },
}

impl ApplyError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::RaceLost { .. } => ResultCode::RaceLost,
            Self::StoreUnavailable { .. } => ResultCode::StoreUnavailable,
            Self::AcceptanceUnknown { .. } => ResultCode::AcceptanceUnknown,
            Self::MergedFaults { code, .. } => *code,
        }
    }
}

/// Clients of the platform's stores, for operators' commands.
#[derive(Debug)]
pub struct Stores {
    /// Client of the table.
    pub table: Table,
    /// Client of the object store.
    pub objects: Objects,
}

/// The accepted configuration, as read from the stores.
#[derive(Clone, Debug, Default)]
pub struct Current {
    /// Head of the newest accepted configuration; version zero if there is none.
    pub head: Head,
    /// Files of that configuration.
    pub folder: Folder,
    row: HeadRow,
    row_version: u64,
}

impl Stores {
    /// Creates clients for a table and an object store, each given as `ip:port`.
    pub fn new(table: &str, objects: &str) -> Self {
        Self {
            table: Table::new(table),
            objects: Objects::new(objects),
        }
    }

    /// Reads the newest accepted configuration.
    pub async fn current(&self) -> Result<Current, ApplyError> {
        let Versioned {
            version,
            value: row,
        } = self
            .table
            .read::<HeadRow>(HEAD_KEY)
            .await
            .map_err(unavailable)?;
        let Some(head) = row.head() else {
            return Ok(Current {
                row_version: version,
                row,
                ..Current::default()
            });
        };
        let folder = self.read_folder(&head.hash).await?;
        Ok(Current {
            head,
            folder,
            row,
            row_version: version,
        })
    }

    /// Reads the files of an accepted version that is still in the head row's history.
    pub async fn folder_at_version(
        &self,
        current: &Current,
        version: u64,
    ) -> Result<Folder, ApplyError> {
        if version == 0 {
            return Ok(Folder::default());
        }
        let accepted = current
            .row
            .history
            .iter()
            .find(|accepted| accepted.version == version);
        let Some(accepted) = accepted else {
            return Err(ApplyError::StoreUnavailable {
                detail: format!(
                    "version {version} is no longer in the history and can't be merged with; pull first"
                ),
            });
        };
        self.read_folder(&accepted.hash).await
    }

    /// Applies `mine`, which was derived from `base_version`, and merges it with the
    /// changes accepted since then.
    pub async fn apply(
        &self,
        mine: &Folder,
        base_version: u64,
        change_id: &str,
    ) -> Result<Accepted, ApplyError> {
        loop {
            let current = self.current().await?;
            if let Some(accepted) = current.row.find(change_id) {
                return Ok(accepted.clone());
            }
            let merged = self.merge(mine, base_version, &current).await?;
            let text =
                serde_json::to_vec(&merged).map_err(|error| ApplyError::StoreUnavailable {
                    detail: error.to_string(),
                })?;
            let hash = self
                .objects
                .put(&Bytes::from(text))
                .await
                .map_err(unavailable)?;
            let row = current.row.with(change_id, &hash);
            if let Some(accepted) = self.commit(&row, current.row_version, change_id).await? {
                return Ok(accepted);
            }
        }
    }

    /// Merges a change with the changes accepted since its base version.
    async fn merge(
        &self,
        mine: &Folder,
        base_version: u64,
        current: &Current,
    ) -> Result<Folder, ApplyError> {
        if base_version == current.head.version {
            return Ok(mine.clone());
        }
        let base = self.folder_at_version(current, base_version).await?;
        let version = current.head.version;
        let merged = Folder::merge(&base, mine, &current.folder)
            .map_err(|files| ApplyError::RaceLost { version, files })?;
        check_merged(&merged, version)?;
        Ok(merged)
    }

    /// Commits a head row; returns `None` if another change was accepted first.
    async fn commit(
        &self,
        row: &HeadRow,
        expected_version: u64,
        change_id: &str,
    ) -> Result<Option<Accepted>, ApplyError> {
        let mut detail = String::new();
        let mut may_be_committed = false;
        for _attempt in 0..COMMIT_ATTEMPTS {
            match self.table.write(HEAD_KEY, expected_version, row).await {
                Ok(_version) => return Ok(row.find(change_id).cloned()),
                Err(StoreError::Conflict) => match self.table.read::<HeadRow>(HEAD_KEY).await {
                    Ok(found) => return Ok(found.value.find(change_id).cloned()),
                    Err(error) => detail = error.to_string(),
                },
                Err(StoreError::NotDone { detail: seen }) if !may_be_committed => {
                    return Err(ApplyError::StoreUnavailable { detail: seen });
                }
                Err(error) => {
                    may_be_committed = true;
                    detail = error.to_string();
                }
            }
            tokio::time::sleep(Duration::from_millis(COMMIT_RETRY_PAUSE_MS)).await;
        }
        Err(ApplyError::AcceptanceUnknown {
            change_id: change_id.to_owned(),
            detail,
        })
    }

    /// Reads the files of the configuration body with the given hash.
    async fn read_folder(&self, hash: &str) -> Result<Folder, ApplyError> {
        let body = self.objects.get(hash).await.map_err(unavailable)?;
        let body = body.ok_or_else(|| ApplyError::StoreUnavailable {
            detail: format!("object {hash} is missing from the object store"),
        })?;
        serde_json::from_slice(&body).map_err(|error| ApplyError::StoreUnavailable {
            detail: error.to_string(),
        })
    }
}

/// Validates the merged declarations as a whole.
fn check_merged(merged: &Folder, version: u64) -> Result<(), ApplyError> {
    let fault = |code, faults| {
        Err(ApplyError::MergedFaults {
            version,
            faults,
            code,
        })
    };
    match merged.declarations() {
        Err(error) => fault(ResultCode::Syntax, error.to_string()),
        Ok(declared) => match Snapshot::resolve(&declared, version) {
            Ok(_snapshot) => Ok(()),
            Err(faults) => {
                let code = faults
                    .first()
                    .map_or(ResultCode::UnknownKey, |fault| fault.code);
                fault(
                    code,
                    faults
                        .iter()
                        .map(ToString::to_string)
                        .collect::<Vec<_>>()
                        .join("; "),
                )
            }
        },
    }
}

/// Converts a store error for operations before the commit, when nothing can have
/// been accepted.
#[expect(clippy::needless_pass_by_value, reason = "used with map_err")]
fn unavailable(error: StoreError) -> ApplyError {
    ApplyError::StoreUnavailable {
        detail: error.to_string(),
    }
}

/// Joins file names with commas.
fn join_names(files: &BTreeSet<String>) -> String {
    files
        .iter()
        .map(String::as_str)
        .collect::<Vec<_>>()
        .join(", ")
}
