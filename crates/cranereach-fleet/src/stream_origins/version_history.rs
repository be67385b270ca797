//! The versions that services have, and since when, as kept in the platform's store.
//!
//! What instances know of versions lives in memory. If all of them start anew, none has watched a
//! service for as long as its streams last, and no stream that began before could be taken up. The
//! history is written when the set of versions of a service changes, so that it costs nothing in
//! calm, whatever the size of the fleet.
//!
//! Times are those of the store's steady clock. A history that a restored store brings back may
//! lack what was written since; so it names the era in which it was written, and counts in that one
//! only.

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of services in a history; there are far fewer in a configuration.
const SERVICE_MAX_COUNT: usize = 4_096;

/// What an instance knows of the versions that a service has now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionStatement {
    /// It has had this version only for as long as its streams last, which is given in
    /// milliseconds.
    Only {
        /// Key of the version.
        version: u64,
        /// For how long it has been the only one, in milliseconds.
        for_ms: u64,
    },
    /// It has this version only since the instance watches it, which is not for that long yet.
    Started(u64),
    /// It has this version only since the instance watches it again, after a gap in which nobody may
    /// have seen what versions there were.
    Resumed {
        /// Key of the version.
        version: u64,
        /// Since when, in milliseconds of the instance's clock.
        since_ms: u64,
    },
    /// It has, or has had lately, more than one.
    Several,
}

/// Versions of one service since a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceVersions {
    /// Key of the service.
    service: u64,
    /// Key of its only version; none if it has several.
    only: Option<u64>,
    /// Since when, in milliseconds of the store's clock.
    since_ms: u64,
}

/// Moment at which a store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreMoment {
    /// Era of the store.
    pub era: u64,
    /// Time of its clock, in milliseconds.
    pub at_ms: u64,
    /// Time of the clock of the instance that asked, in milliseconds.
    pub own_ms: u64,
}

/// Versions of all services.
///
/// ```
/// use cranereach_fleet::stream_origins::{StoreMoment, VersionHistory, VersionStatement};
///
/// let at = |at_ms| StoreMoment { era: 0, at_ms, own_ms: 0 };
/// let started = [(7, VersionStatement::Started(1))];
/// let history = VersionHistory::default().updated(at(1_000), &started).unwrap();
/// assert_eq!(history.updated(at(2_000), &started), None);
/// assert_eq!(history.proven_version(at(2_000), 7, 30_000), None);
/// assert_eq!(history.proven_version(at(31_000), 7, 30_000), Some(1));
/// // A store that was restored may have lost later changes.
/// let restored = StoreMoment { era: 1, at_ms: 31_000, own_ms: 0 };
/// assert_eq!(history.proven_version(restored, 7, 30_000), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistory {
    /// Era of the store in which it was written.
    era: u64,
    services: Vec<ServiceVersions>,
}

impl ServiceVersions {
    /// Returns what an instance states of a service.
    fn stated(now: StoreMoment, service: u64, statement: VersionStatement) -> Self {
        let ago_ms = |ago_ms: u64| now.at_ms.saturating_sub(ago_ms);
        let (only, since_ms) = match statement {
            VersionStatement::Only { version, for_ms } => (Some(version), ago_ms(for_ms)),
            VersionStatement::Started(version) => (Some(version), now.at_ms),
            VersionStatement::Resumed { version, since_ms } => {
                (Some(version), ago_ms(now.own_ms.saturating_sub(since_ms)))
            }
            VersionStatement::Several => (None, now.at_ms),
        };
        Self {
            service,
            only,
            since_ms,
        }
    }

    /// Whether this already says what is stated. After a gap it must not say so for longer.
    fn says(&self, stated: &Self, resumes: bool) -> bool {
        self.only == stated.only && !(resumes && self.since_ms < stated.since_ms)
    }
}

impl VersionHistory {
    /// Returns the only version that a service has had for at least `for_ms`, if the history proves
    /// that.
    pub fn proven_version(&self, now: StoreMoment, service: u64, for_ms: u64) -> Option<u64> {
        let known = self.entry(now.era, service)?;
        let is_long = known.since_ms.saturating_add(for_ms) <= now.at_ms;
        known.only.filter(|_| is_long)
    }

    /// Returns the history with what an instance states of all services; none if it says that
    /// already. A service of which nothing is stated keeps its entry.
    pub fn updated(
        &self,
        now: StoreMoment,
        statements: &[(u64, VersionStatement)],
    ) -> Option<Self> {
        let mut services = if self.era == now.era {
            self.services.clone()
        } else {
            Vec::new()
        };
        for (service, statement) in statements.iter().take(SERVICE_MAX_COUNT) {
            let next = ServiceVersions::stated(now, *service, *statement);
            let resumes = matches!(statement, VersionStatement::Resumed { .. });
            let mut known = services.iter_mut();
            match known.find(|known| known.service == *service) {
                Some(known) if !known.says(&next, resumes) => *known = next,
                Some(_) => {}
                None => services.push(next),
            }
        }
        let updated = Self {
            era: now.era,
            services,
        };
        (updated.services != self.services || updated.era != self.era).then_some(updated)
    }

    /// Drops the services that are not configured any more.
    pub fn retain_services(&mut self, is_configured: impl Fn(u64) -> bool) {
        self.services.retain(|known| is_configured(known.service));
    }

    /// Returns what is known of a service in an era of the store.
    fn entry(&self, era: u64, service: u64) -> Option<&ServiceVersions> {
        let mut services = self.services.iter().filter(|_| self.era == era);
        services.find(|known| known.service == service)
    }
}
