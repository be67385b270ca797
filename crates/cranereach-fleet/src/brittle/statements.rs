//! What an instance knows of the brittleness of a worker, or of the workers of a service.
//!
//! A worker has said that it is brittle, has denied it, or has said neither since its start. The
//! workers of a service are brittle together, so what one of them said last is assumed of those that
//! have said neither. An assumption is never passed on as a worker's own word, and a word that is
//! passed on keeps its age, so that instances can't renew it by telling each other.

use std::cmp::Ordering;

use serde::Deserialize;
use serde::Serialize;

use crate::freshness::TRANSIT_ALLOWANCE_MS;

/// Time after which a statement expires, in milliseconds. The worker repeats it in all its answers.
const EXPIRES_AFTER_MS: u64 = 15_000;

/// A statement that a worker is brittle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Word {
    /// Rejections that the worker bears in one second.
    borne_count: u32,
    /// When an instance heard it from the worker, in milliseconds.
    heard_ms: u64,
    /// Whether another instance heard it.
    is_reported: bool,
}

/// An answer of success that doesn't say that the worker is brittle.
#[derive(Clone, Copy, Debug)]
struct Denial {
    /// When the request was sent that it answers, in milliseconds.
    sent_ms: u64,
    /// When it was heard, in milliseconds.
    heard_ms: u64,
}

/// A statement that a worker is brittle, as passed on between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWord {
    /// Rejections that the worker bears in one second.
    pub borne_count: u32,
    /// Time since an instance heard it from the worker, in milliseconds.
    pub age_ms: u32,
}

/// What an instance passes on of a worker and its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BrittleReport {
    /// Word of the worker itself.
    pub worker: Option<ReportedWord>,
    /// Last word of any worker of the service.
    pub service: Option<ReportedWord>,
}

impl BrittleReport {
    /// Returns the report that a worker has just said how many rejections it bears.
    ///
    /// ```
    /// use cranereach_fleet::brittle::BrittleReport;
    ///
    /// let report = BrittleReport::of_answer(3);
    /// assert_eq!(report.worker.map(|word| (word.borne_count, word.age_ms)), Some((3, 0)));
    /// assert_eq!(report.service, None);
    /// ```
    pub fn of_answer(borne_count: u32) -> Self {
        let word = ReportedWord {
            borne_count,
            age_ms: 0,
        };
        Self {
            worker: Some(word),
            service: None,
        }
    }
}

/// What workers have said, and when: one worker since its start, or all workers of a service.
///
/// ```
/// use cranereach_fleet::brittle::BrittleStatements;
///
/// let mut statements = BrittleStatements::default();
/// statements.said(1_000, 3);
/// assert_eq!(statements.borne_count(1_010), Some(3));
/// // Sent before the word was heard: this answer may be older than it.
/// statements.denied(1_040, 990);
/// assert_eq!(statements.borne_count(1_050), Some(3));
/// statements.denied(1_100, 1_020);
/// assert_eq!(statements.borne_count(1_110), None);
/// assert_eq!(statements.denied_at_ms(1_110), Some(1_100));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BrittleStatements {
    word: Option<Word>,
    /// When the first of the words was heard that have followed one another without expiring or
    /// being denied, in milliseconds.
    since_ms: u64,
    denial: Option<Denial>,
}

impl BrittleStatements {
    /// Records that a worker said in an answer how many rejections it bears.
    pub fn said(&mut self, now_ms: u64, borne_count: u32) {
        self.set(
            now_ms,
            Word {
                borne_count,
                heard_ms: now_ms,
                is_reported: false,
            },
        );
    }

    /// Replaces the word.
    fn set(&mut self, now_ms: u64, word: Word) {
        if self.word(now_ms).is_none() {
            self.since_ms = word.heard_ms;
        }
        self.word = Some(word);
    }

    /// Records that one of several workers said in an answer how many rejections it bears. The
    /// lowest number holds for as long as any of them says so.
    pub fn said_by_any(&mut self, now_ms: u64, borne_count: u32) {
        self.merge(
            now_ms,
            Word {
                borne_count,
                heard_ms: now_ms,
                is_reported: false,
            },
        );
    }

    /// Takes another instance's word, unless a later answer denied it.
    ///
    /// ```
    /// use cranereach_fleet::brittle::BrittleStatements;
    /// use cranereach_fleet::brittle::ReportedWord;
    ///
    /// let mut statements = BrittleStatements::default();
    /// statements.reported(20_000, ReportedWord { borne_count: 2, age_ms: 14_000 });
    /// assert_eq!(statements.borne_count(20_900), Some(2));
    /// assert_eq!(statements.borne_count(21_000), None);
    /// ```
    pub fn reported(&mut self, now_ms: u64, reported: ReportedWord) {
        let age_ms = u64::from(reported.age_ms) + TRANSIT_ALLOWANCE_MS;
        // Before the clock began nothing was heard that still holds.
        let Some(heard_ms) = now_ms.checked_sub(age_ms) else {
            return;
        };
        self.merge(
            now_ms,
            Word {
                borne_count: reported.borne_count,
                heard_ms,
                is_reported: true,
            },
        );
    }

    /// Takes a word unless a later answer denied it. The lower number holds for as long as the later
    /// of the two.
    fn merge(&mut self, now_ms: u64, word: Word) {
        let is_denied = self
            .denial
            .is_some_and(|denial| denial.sent_ms >= word.heard_ms);
        if is_denied || !is_fresh(now_ms, word.heard_ms) {
            return;
        }
        let merged = self.word(now_ms).map_or(word, |known| Word {
            borne_count: known.borne_count.min(word.borne_count),
            heard_ms: known.heard_ms.max(word.heard_ms),
            is_reported: match word.borne_count.cmp(&known.borne_count) {
                Ordering::Less => word.is_reported,
                Ordering::Equal => word.is_reported && known.is_reported,
                Ordering::Greater => known.is_reported,
            },
        });
        self.set(now_ms, merged);
    }

    /// Records an answer of success, to a request sent at `sent_ms`, that doesn't say that the
    /// worker is brittle. It ends what was heard before that request was sent.
    pub fn denied(&mut self, now_ms: u64, sent_ms: u64) {
        let is_newest = self.denial.is_none_or(|known| sent_ms >= known.sent_ms);
        if is_newest {
            self.denial = Some(Denial {
                sent_ms,
                heard_ms: now_ms,
            });
        }
        self.word = self.word.filter(|word| word.heard_ms > sent_ms);
    }

    /// Returns the word that holds.
    fn word(&self, now_ms: u64) -> Option<Word> {
        self.word.filter(|word| is_fresh(now_ms, word.heard_ms))
    }

    /// Returns how many rejections are borne in one second by what was said; none if there is no
    /// word that holds.
    pub fn borne_count(&self, now_ms: u64) -> Option<u32> {
        self.word(now_ms).map(|word| word.borne_count)
    }

    /// Returns when a denial was heard that holds, in milliseconds.
    pub fn denied_at_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_denial(now_ms).map(|denial| denial.heard_ms)
    }

    /// Returns the denial that holds.
    fn last_denial(&self, now_ms: u64) -> Option<Denial> {
        let denial = self.denial?;
        let holds = is_fresh(now_ms, denial.heard_ms) && self.word(now_ms).is_none();
        holds.then_some(denial)
    }

    /// Returns the word that holds as it is passed on to other instances.
    pub fn report(&self, now_ms: u64) -> Option<ReportedWord> {
        let word = self.word(now_ms)?;
        Some(ReportedWord {
            borne_count: word.borne_count,
            age_ms: age_ms(now_ms, word.heard_ms) as u32,
        })
    }
}

/// Whether a statement that was heard at a time still holds.
fn is_fresh(now_ms: u64, heard_ms: u64) -> bool {
    now_ms < heard_ms + EXPIRES_AFTER_MS
}

/// Returns the age of a statement, in milliseconds.
fn age_ms(now_ms: u64, heard_ms: u64) -> u64 {
    now_ms.saturating_sub(heard_ms)
}

/// What it rests on that a worker is taken to be brittle or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeSource {
    /// The worker said to this instance that it is brittle.
    Worker,
    /// The worker said so to another instance.
    Peer,
    /// The worker has said nothing, and another of its service said that it is brittle.
    Service,
    /// The worker answered without saying so.
    Denied,
    /// The worker has said nothing, and no other of its service that it is brittle.
    Silent,
}

impl KnowledgeSource {
    /// Whether a worker is taken to be brittle by it.
    pub fn is_word(self) -> bool {
        matches!(self, Self::Worker | Self::Peer | Self::Service)
    }

    /// Returns the name of the source in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Worker => "worker",
            Self::Peer => "peer",
            Self::Service => "service",
            Self::Denied => "denied",
            Self::Silent => "silent",
        }
    }
}

/// Whether a worker is taken to be brittle, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownBrittleness {
    /// What it rests on.
    pub source: KnowledgeSource,
    /// Rejections that the worker is taken to bear in one second; none if it isn't taken to be
    /// brittle.
    pub borne_count: Option<u32>,
    /// Age of the statement that it rests on, in milliseconds; none if there is none.
    pub age_ms: Option<u64>,
}

impl KnownBrittleness {
    /// Returns what is to be assumed of a worker by its own statements and those of its service's
    /// workers. A denial that was heard before `ended_at_ms`, at which a connection to the worker
    /// broke, may be that of an earlier start. One of before the service's workers began to say that
    /// they are brittle tells nothing of the time since. Neither counts.
    ///
    /// ```
    /// use cranereach_fleet::brittle::BrittleStatements;
    /// use cranereach_fleet::brittle::KnowledgeSource;
    /// use cranereach_fleet::brittle::KnownBrittleness;
    ///
    /// let mut service = BrittleStatements::default();
    /// service.said_by_any(1_000, 3);
    /// let mut worker = BrittleStatements::default();
    /// let known = KnownBrittleness::of(1_200, &worker, &service, None);
    /// assert_eq!(known.source, KnowledgeSource::Service);
    /// assert_eq!((known.borne_count, known.age_ms), (Some(3), Some(200)));
    /// worker.denied(1_300, 1_100);
    /// assert_eq!(KnownBrittleness::of(1_400, &worker, &service, None).borne_count, None);
    /// ```
    pub fn of(
        now_ms: u64,
        worker: &BrittleStatements,
        service: &BrittleStatements,
        ended_at_ms: Option<u64>,
    ) -> Self {
        if let Some(word) = worker.word(now_ms) {
            let source = if word.is_reported {
                KnowledgeSource::Peer
            } else {
                KnowledgeSource::Worker
            };
            return Self::by_word(now_ms, source, word);
        }
        let service_word = service.word(now_ms);
        let counts = |denial: &Denial| {
            let is_of_this_start = ended_at_ms.is_none_or(|at_ms| denial.heard_ms > at_ms);
            let is_current = service_word.is_none() || denial.sent_ms >= service.since_ms;
            is_of_this_start && is_current
        };
        if let Some(denial) = worker.last_denial(now_ms).filter(counts) {
            return Self {
                source: KnowledgeSource::Denied,
                borne_count: None,
                age_ms: Some(age_ms(now_ms, denial.heard_ms)),
            };
        }
        if let Some(word) = service_word {
            return Self::by_word(now_ms, KnowledgeSource::Service, word);
        }
        Self {
            source: KnowledgeSource::Silent,
            borne_count: None,
            age_ms: None,
        }
    }

    /// Returns what follows from a word.
    fn by_word(now_ms: u64, source: KnowledgeSource, word: Word) -> Self {
        Self {
            source,
            borne_count: Some(word.borne_count),
            age_ms: Some(age_ms(now_ms, word.heard_ms)),
        }
    }
}
