//! The versions of one service that this instance has seen, and since when it has watched them.

use super::version_history::VersionStatement;
use crate::freshness::OUTAGE_RECOVERY_MS;

/// Maximum number of versions that are remembered; with more than one the service is mixed anyway.
const VERSION_MAX_COUNT: usize = 8;

/// What is known of the versions at which the present streams of a service may have begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionView {
    /// Only at this one.
    Only(u64),
    /// This is the only one seen, but the service has not been watched for as long as its streams
    /// last.
    Started(u64),
    /// At more than one, or the list of workers is not current.
    Uncertain,
}

/// Time after a start within which the list of workers is current, in milliseconds, unless the store
/// is out.
const FIRST_LIST_MAX_MS: u64 = 1_000;

/// A version and when it is no longer relevant.
#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    version: u64,
    /// When it was first seen, in milliseconds.
    since_ms: u64,
    /// When the last stream that may have begun at it has ended, in milliseconds.
    relevant_until_ms: u64,
}

/// Versions of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionWatch {
    seen: Vec<SeenVersion>,
    /// When all streams that may have begun before the watch have ended, in milliseconds; none
    /// while the list is not current.
    complete_from_ms: Option<u64>,
    /// Since when the list has been current, in milliseconds.
    current_since_ms: u64,
    /// Whether the list was current before that and then was not, as in an outage of the store, or
    /// became current only some time after the start.
    follows_gap: bool,
    /// For how long the streams of the service last at most, in milliseconds.
    stream_max_ms: u64,
}

impl VersionWatch {
    /// Records the versions of the listed workers. `running_since_ms` is the start of this instance.
    pub(super) fn observe(
        &mut self,
        now_ms: u64,
        life_ms: u64,
        is_current: bool,
        versions: &[u64],
        running_since_ms: u64,
    ) {
        self.stream_max_ms = life_ms;
        self.seen.retain(|seen| now_ms < seen.relevant_until_ms);
        for version in versions {
            self.seen(now_ms, *version);
        }
        if !is_current {
            self.follows_gap |= self.complete_from_ms.is_some();
            self.complete_from_ms = None;
        } else if self.complete_from_ms.is_none() {
            self.complete_from_ms = Some(now_ms + life_ms);
            self.current_since_ms = now_ms;
            self.follows_gap |= now_ms > running_since_ms + FIRST_LIST_MAX_MS;
        }
    }

    /// Records that a stream may begin, or has begun, at a version now.
    pub(super) fn seen(&mut self, now_ms: u64, version: u64) {
        let relevant_until_ms = now_ms + self.stream_max_ms;
        let known = self.seen.iter_mut().find(|seen| seen.version == version);
        if let Some(known) = known {
            // Streams that began while they could last longer still run.
            known.relevant_until_ms = known.relevant_until_ms.max(relevant_until_ms);
        } else if self.seen.len() < VERSION_MAX_COUNT {
            self.seen.push(SeenVersion {
                version,
                since_ms: now_ms,
                relevant_until_ms,
            });
        }
    }

    /// Records that a peer has watched the service for as long as its streams last, and has seen
    /// the same one version.
    pub(super) fn confirmed(&mut self, now_ms: u64) {
        self.complete_from_ms = self.complete_from_ms.map(|from_ms| from_ms.min(now_ms));
    }

    /// Lists the versions at which streams may have begun, as far as seen.
    pub(super) fn versions(&self, now_ms: u64) -> impl Iterator<Item = u64> {
        let relevant = self.seen.iter();
        let relevant = relevant.filter(move |seen| now_ms < seen.relevant_until_ms);
        relevant.map(|seen| seen.version)
    }

    /// Lists the versions that were first seen this long ago or longer.
    pub(super) fn settled(&self, now_ms: u64, settle_ms: u64) -> impl Iterator<Item = u64> {
        let settled = self.seen.iter();
        let settled = settled.filter(move |seen| {
            seen.since_ms + settle_ms <= now_ms && now_ms < seen.relevant_until_ms
        });
        settled.map(|seen| seen.version)
    }

    /// Whether the history that is kept in the store may complete what was seen. Not after a gap:
    /// workers may have run versions in it that no row ever named. A list that has just become
    /// current may follow an outage of the store, in which workers started again with another
    /// version or lapsed; they are listed again some time after it.
    pub(super) fn is_ready_for_history(&self, now_ms: u64) -> bool {
        matches!(self.view(now_ms), VersionView::Started(_))
            && !self.follows_gap
            && now_ms >= self.current_since_ms + OUTAGE_RECOVERY_MS
    }

    /// Whether the watch began anew after a gap, and is not complete yet.
    pub(super) fn resumes(&self, now_ms: u64) -> bool {
        self.follows_gap && matches!(self.view(now_ms), VersionView::Started(_))
    }

    /// Returns for how long the streams of the service last at most, in milliseconds.
    pub(super) fn stream_max_ms(&self) -> u64 {
        self.stream_max_ms
    }

    /// Returns what is known of the versions that the service has now; none if its list of workers
    /// is not current or empty.
    pub(super) fn statement(&self, now_ms: u64) -> Option<VersionStatement> {
        self.complete_from_ms?;
        match self.view(now_ms) {
            VersionView::Only(version) => Some(VersionStatement::Only {
                version,
                for_ms: self.stream_max_ms,
            }),
            VersionView::Started(version) if self.follows_gap => Some(VersionStatement::Resumed {
                version,
                since_ms: self.current_since_ms,
            }),
            VersionView::Started(version) => Some(VersionStatement::Started(version)),
            VersionView::Uncertain => {
                let is_mixed = self.versions(now_ms).count() > 1;
                is_mixed.then_some(VersionStatement::Several)
            }
        }
    }

    /// Whether streams can have begun at one version only.
    pub(super) fn is_single(&self, now_ms: u64) -> bool {
        matches!(self.view(now_ms), VersionView::Only(_))
    }

    /// Returns what is known of the versions at which streams may have begun.
    pub(super) fn view(&self, now_ms: u64) -> VersionView {
        let mut versions = self.versions(now_ms);
        let (Some(only), None) = (versions.next(), versions.next()) else {
            return VersionView::Uncertain;
        };
        match self.complete_from_ms {
            Some(from_ms) if now_ms >= from_ms => VersionView::Only(only),
            Some(_) => VersionView::Started(only),
            None => VersionView::Uncertain,
        }
    }
}
