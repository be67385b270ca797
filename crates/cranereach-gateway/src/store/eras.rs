//! Tracks the era of the platform's store and unknown headers, both taken from the store's
//! answers.
//!
//! The era is a generation number that rises by one when the store is restored from a backup.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::HeaderMap;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::DATE;
use hyper::header::HeaderName;
use hyper::header::SERVER;
use hyper::header::TRANSFER_ENCODING;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::metrics::Metrics;

/// Headers of any HTTP answer, which carry no information about the store.
const COMMON_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    DATE,
    SERVER,
    TRANSFER_ENCODING,
];

/// Another common header, for which `hyper` has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Maximum number of unknown header names that get a metric label of their own.
const LABEL_MAX_COUNT: usize = 16;

/// Metric label that counts all further unknown headers.
const OTHER_LABEL: &str = "other";

/// The newest known era of the store, and the unknown headers seen in its answers.
#[derive(Debug)]
pub struct StoreEras {
    header: &'static str,
    newest: AtomicU64,
    has_stated_era: AtomicBool,
    new_era: Notify,
    unknown_headers: Mutex<BTreeSet<String>>,
    log: Logger,
    era_gauge: IntGauge,
    bad_input_total: IntCounterVec,
    unknown_headers_total: IntCounterVec,
}

impl StoreEras {
    /// Creates the state before the first answer. `header` is the header that states the era.
    pub fn new(header: &'static str, log: &Logger, metrics: &Metrics) -> Self {
        Self {
            header,
            newest: AtomicU64::new(0),
            has_stated_era: AtomicBool::new(false),
            new_era: Notify::new(),
            unknown_headers: Mutex::default(),
            log: log.clone(),
            era_gauge: metrics.store_era.clone(),
            bad_input_total: metrics.bad_input_total.clone(),
            unknown_headers_total: metrics.store_unknown_words_total.clone(),
        }
    }

    /// Returns the newest known era, or zero if the store states none.
    pub fn newest(&self) -> u64 {
        self.newest.load(Ordering::Acquire)
    }

    /// Processes the headers of an answer and returns the era that the answer belongs to. An
    /// answer without a readable era counts as one of the newest known era.
    pub fn observe_headers(&self, headers: &HeaderMap) -> u64 {
        self.count_unknown_headers(headers);
        let stated = headers.get(self.header);
        let era = stated.and_then(|value| value.to_str().ok()?.trim().parse().ok());
        let Some(era) = era else {
            if stated.is_some() || self.has_stated_era.load(Ordering::Acquire) {
                self.count_invalid_era("store_era");
            }
            return self.newest();
        };
        self.has_stated_era.store(true, Ordering::Release);
        self.advance_to(era, "store");
        if era < self.newest() {
            self.count_invalid_era("store_era_fallen");
        }
        era
    }

    /// Waits until a new era becomes known.
    pub async fn wait_for_new_era(&self) {
        self.new_era.notified().await;
    }

    /// Raises the newest known era. `source` names who reported it, for the log.
    pub fn advance_to(&self, era: u64, source: &str) {
        let before = self.newest.fetch_max(era, Ordering::AcqRel);
        if era <= before {
            return;
        }
        self.era_gauge.set(era as i64);
        info!(self.log, "store era"; "era" => era, "before" => before, "from" => source);
        self.new_era.notify_one();
    }

    /// Counts an era that is missing, unreadable or lower than the newest one, and logs the first
    /// occurrence of each kind.
    fn count_invalid_era(&self, kind: &'static str) {
        let counter = self.bad_input_total.with_label_values(&[kind]);
        if counter.get() == 0 {
            warn!(self.log, "store answer with an invalid era"; "kind" => kind, "newest" => self.newest());
        }
        counter.inc();
    }

    /// Counts the headers that this system does not read, and logs each name once.
    fn count_unknown_headers(&self, headers: &HeaderMap) {
        let is_known = |name: &&HeaderName| {
            let name = *name;
            name.as_str() == self.header
                || name.as_str() == KEEP_ALIVE
                || COMMON_HEADERS.contains(name)
        };
        for name in headers.keys().filter(|name| !is_known(name)) {
            let names = self.unknown_headers.lock();
            let mut names = names.unwrap_or_else(PoisonError::into_inner);
            let is_new = !names.contains(name.as_str());
            let has_own_label = !is_new || names.len() < LABEL_MAX_COUNT;
            if is_new && has_own_label {
                names.insert(name.as_str().to_owned());
                warn!(self.log, "unknown header in store answer"; "header" => name.as_str());
            }
            drop(names);
            let label = if has_own_label {
                name.as_str()
            } else {
                OTHER_LABEL
            };
            self.unknown_headers_total.with_label_values(&[label]).inc();
        }
    }
}
