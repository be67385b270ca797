//! Judges each promise and reports the verdicts.

use std::fs;
use std::io;
use std::path::Path;

use serde::Serialize;

use crate::check::Applicability;
use crate::check::PROMISES;
use crate::record::Records;

/// Maximum number of printed violations per promise; the verdicts file lists all.
const SHOWN_COUNT: usize = 5;

/// Outcome for one promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Tested and kept.
    Kept,
    /// Violated.
    Broken,
    /// Nothing in the run tested it.
    NotTried,
    /// Skipped because timed promises were left out.
    NotJudged,
}

/// The verdict on one promise.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the promise.
    pub promise: &'static str,
    /// Outcome.
    pub outcome: Outcome,
    /// How often it was tested.
    pub tried_count: usize,
    /// Descriptions of the violations.
    pub broken: Vec<String>,
}

/// Options of judging.
#[derive(Clone, Copy, Debug, Default)]
pub struct JudgeOptions {
    /// Skips the promises that depend on the speed of the machine.
    pub is_untimed: bool,
}

/// Judges the records by each promise.
pub fn judge(records: &Records, options: &JudgeOptions) -> Vec<Verdict> {
    let verdicts = PROMISES.iter().map(|promise| {
        let is_skipped = promise.applicability == Applicability::Timed && options.is_untimed;
        let finding = if is_skipped {
            crate::check::Finding::default()
        } else {
            (promise.check)(records)
        };
        let outcome = if is_skipped {
            Outcome::NotJudged
        } else if !finding.violations.is_empty() {
            Outcome::Broken
        } else if finding.tried_count == 0 {
            Outcome::NotTried
        } else {
            Outcome::Kept
        };
        Verdict {
            promise: promise.name,
            outcome,
            tried_count: finding.tried_count,
            broken: finding.violations,
        }
    });
    verdicts.collect()
}

/// Prints the verdicts; returns whether no promise was violated.
pub fn print(verdicts: &[Verdict]) -> bool {
    for verdict in verdicts {
        println!(
            "{:<20} {:<10} tried {:>6}, broken {}",
            verdict.promise,
            format!("{:?}", verdict.outcome),
            verdict.tried_count,
            verdict.broken.len()
        );
        for violation in verdict.broken.iter().take(SHOWN_COUNT) {
            println!("    {violation}");
        }
    }
    let is_kept = |verdict: &Verdict| verdict.outcome != Outcome::Broken;
    verdicts.iter().all(is_kept)
}

/// Writes records and verdicts into a folder.
pub fn write(folder: &Path, records: &Records, verdicts: &[Verdict]) -> io::Result<()> {
    let records = serde_json::to_vec(records)?;
    fs::write(folder.join("records.json"), records)?;
    let verdicts = serde_json::to_vec_pretty(verdicts)?;
    fs::write(folder.join("verdicts.json"), verdicts)
}
