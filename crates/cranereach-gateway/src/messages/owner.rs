//! Messages to the owners of workers, and their answers.

use serde::Deserialize;
use serde::Serialize;

use super::LoadPart;
use cranereach_fleet::brittle::BrittleReport;
use cranereach_fleet::brittle::ReportedWord;
use cranereach_fleet::named_limit::LimitReport;
use cranereach_fleet::owned::Outcome;
use cranereach_fleet::owned::SentRequest;

/// A question or notice about one request to the owner of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerMessage {
    /// Key of the worker.
    pub worker: u64,
    /// Number that the sender gave the question or request.
    pub ticket: u64,
    /// Content of the question or notice.
    pub event: OwnerEvent,
}

/// Content of a message to the owner of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OwnerEvent {
    /// Asks for the worker's state with regard to a call.
    Ask(OwnerAsk),
    /// A request with these prompt prefixes is sent to the worker.
    Begun(SentRequest, Vec<u64>),
    /// The worker has completed the prefill of the request's prompt, this many milliseconds after
    /// the request began.
    Read(u32),
    /// The request has ended.
    Ended(Outcome),
    /// The worker has announced another rate limit, or no longer has one.
    Limit(LimitReport),
    /// The worker says that it bears this many rejections in one second.
    Brittle(u32),
}

/// A call that the owner of a worker is asked about.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OwnerAsk {
    /// Hashes of the prompt's leading parts, each covering all parts before it.
    pub chains: Vec<u64>,
    /// Prefill time of the prompt, in milliseconds.
    pub reading_ms: u32,
    /// Prefill time of each of those parts, in milliseconds: parts in the worker's prefix
    /// cache aren't prefilled again.
    pub part_reading_ms: Vec<u32>,
    /// Whether the call may be retried on another worker if it fails.
    pub may_repeat: bool,
    /// The worker's rate limit, as the sender knows it.
    pub limit: Option<LimitReport>,
}

/// State of a worker with regard to a call, from the worker's owner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quote {
    /// Number of the question.
    pub ticket: u64,
    /// Key of the worker.
    pub worker: u64,
    /// Requests at the worker.
    pub load: LoadPart,
    /// Number of leading prompt parts that are probably in the worker's prefix cache.
    pub kept_part_count: u32,
    /// Ratio of the actual to the predicted time until an answer begins, in percent.
    pub pace_percent: u32,
    /// Share of recent calls that failed, in percent.
    pub failed_percent: u32,
    /// Whether calls should avoid the worker for now.
    pub is_aside: bool,
    /// Whether the worker runs a request that is kept apart from others during which workers
    /// ended.
    pub has_suspect: bool,
    /// Time to wait before sending the prompt, in milliseconds.
    pub send_in_ms: u32,
    /// Longest pause that the prompt's prefill causes in running streams, in milliseconds.
    pub pause_ms: u32,
    /// The worker's rate limit, as the owner knows it.
    pub limit: Option<LimitReport>,
    /// Key of the worker's incarnation that has announced its departure, as the owner knows
    /// it.
    pub leaving_start: Option<u64>,
    /// What the owner has heard of the brittleness of the worker and its service; none if it knows
    /// no word that holds. Follows the datagram, see
    /// [`AppendedBrittleness`].
    #[serde(skip)]
    pub brittle: Option<BrittleReport>,
}

/// Number of rejections that stands for a word that is missing. Earlier releases, which read the
/// first number alone, take it for a worker that bears more than they know.
const NO_WORD_COUNT: u32 = u32::MAX;

/// Brittleness of a worker and its service as it follows a [`Quote`]. Earlier releases send and read
/// the first number alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AppendedBrittleness {
    worker: ReportedWord,
    service: ReportedWord,
}

impl AppendedBrittleness {
    /// Encodes a report.
    pub(super) fn encode(report: &BrittleReport) -> Self {
        let none = ReportedWord {
            borne_count: NO_WORD_COUNT,
            age_ms: 0,
        };
        Self {
            worker: report.worker.unwrap_or(none),
            service: report.service.unwrap_or(none),
        }
    }

    /// Decodes what follows a quote; none if nothing does.
    pub(super) fn decode(bytes: &[u8]) -> Option<BrittleReport> {
        if let Ok(appended) = postcard::from_bytes::<Self>(bytes) {
            let word = |word: ReportedWord| (word.borne_count != NO_WORD_COUNT).then_some(word);
            return Some(BrittleReport {
                worker: word(appended.worker),
                service: word(appended.service),
            });
        }
        let borne_count = postcard::from_bytes(bytes).ok()?;
        Some(BrittleReport::of_answer(borne_count))
    }
}
