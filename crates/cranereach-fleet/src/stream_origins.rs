//! The software versions at which streams began, so that a stream that its caller takes up again,
//! perhaps at another instance, continues only at that version.
//!
//! The instance that sends the first event of a stream to the caller keeps a note of it. Unless it
//! knows that the service has had one version for longer than its streams last, it also tells its
//! notes to two holders, found by hashing the stream's key over the members (see [`holders`]). An
//! instance that takes a stream up asks these two. In a service with one version nothing is sent:
//! every stream began at that version. An instance that has just started learns from a peer that
//! there was one version only, or, if all have just started, from the history that they keep in the
//! store ([`VersionHistory`]).
//!
//! An origin that nobody knows is not guessed: the stream is refused, and its caller starts anew.

mod answers;
mod confirmation;
mod history_duty;
mod holders;
mod key;
mod notes;
mod version_history;
mod version_watch;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;

pub use self::answers::Decision;
pub use self::answers::Origin;
pub use self::answers::OriginAnswer;
pub use self::answers::OriginNote;
pub use self::answers::all_started;
pub use self::history_duty::HistoryDuty;
pub use self::holders::HOLDER_COUNT;
pub use self::holders::Holders;
pub use self::holders::holders;
pub use self::key::stream_key;
use self::notes::Noted;
use self::notes::Notes;
pub use self::version_history::StoreMoment;
pub use self::version_history::VersionHistory;
pub use self::version_history::VersionStatement;
pub use self::version_watch::VersionView;
use self::version_watch::VersionWatch;

/// Time after the deadline of a stream within which its caller may take it up again, in
/// milliseconds.
const TAKE_UP_GRACE_MS: u64 = 10_000;

/// Maximum number of services that are watched; there are far fewer in a configuration.
const SERVICE_MAX_COUNT: usize = 4_096;

/// Maximum number of notes that this instance keeps of its own streams.
pub const OWN_NOTE_MAX_COUNT: usize = 16_384;

/// Maximum number of notes that this instance holds for others.
pub const HELD_NOTE_MAX_COUNT: usize = 32_768;

/// Maximum number of notes in one message.
pub const TOLD_MAX_COUNT: usize = 256;

/// Maximum time for which a note is kept, in milliseconds, whatever a message says.
const NOTE_MAX_MS: u64 = 3_600_000;

/// Returns for how long the streams of a service last at most, with the time in which their callers
/// take them up, in milliseconds, given the longest timeout of its routes.
pub fn stream_life_ms(timeout_max_ms: u64) -> u64 {
    timeout_max_ms
        .saturating_add(TAKE_UP_GRACE_MS)
        .min(NOTE_MAX_MS)
}

/// What this instance knows of the versions of services and the origins of streams.
///
/// ```
/// use std::net::Ipv4Addr;
///
/// use cranereach_fleet::stream_origins::{Decision, Origin, StreamOrigins, holders};
/// use cranereach_fleet::topology::DomainTag;
///
/// let mut origins = StreamOrigins::default();
/// origins.observe(0, 7, 60_000, true, &[1, 2]);
/// let origin = Origin { service: 7, version: 2 };
/// origins.stream_began(10, 99, origin, 60_000);
/// assert_eq!(origins.decide(20, 7, 99, true), Decision::GoOn(origin));
/// assert_eq!(origins.decide(20, 7, 98, true), Decision::Ask);
///
/// let peer = Ipv4Addr::new(10, 0, 0, 2);
/// let told = origins.take_due(20, |key| holders(key, [(peer, DomainTag::of("a"))].into_iter()));
/// assert_eq!(told[&peer].len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    /// Since when this instance has been running, in milliseconds.
    running_since_ms: Option<u64>,
    watches: HashMap<u64, VersionWatch>,
    /// Notes of the streams whose first or later events this instance sent to callers.
    own: Notes<Holders>,
    /// Notes told by other instances.
    held: Notes<()>,
    /// Keys of own notes that may have to be told.
    unchecked: VecDeque<u64>,
}

impl StreamOrigins {
    /// Records that this instance is running, perhaps without a configuration that names services.
    pub fn note_running(&mut self, now_ms: u64) -> u64 {
        *self.running_since_ms.get_or_insert(now_ms)
    }

    /// Records the versions of the listed workers of a service whose streams last at most
    /// `life_ms`. `is_current` tells whether the list is known to have been complete lately.
    pub fn observe(
        &mut self,
        now_ms: u64,
        service: u64,
        life_ms: u64,
        is_current: bool,
        versions: &[u64],
    ) {
        if self.watches.len() >= SERVICE_MAX_COUNT && !self.watches.contains_key(&service) {
            return;
        }
        let running_since_ms = self.note_running(now_ms);
        let watch = self.watches.entry(service).or_default();
        let was_single = watch.is_single(now_ms);
        watch.observe(now_ms, life_ms, is_current, versions, running_since_ms);
        if was_single && !watch.is_single(now_ms) {
            self.recheck(now_ms);
        }
    }

    /// Drops the services that are not listed any more.
    pub fn retain_services(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.watches.retain(|service, _| is_listed(*service));
    }

    /// Returns what this instance has seen of a service's versions.
    pub fn view(&self, now_ms: u64, service: u64) -> VersionView {
        let watch = self.watches.get(&service);
        watch.map_or(VersionView::Uncertain, |watch| watch.view(now_ms))
    }

    /// Lists the versions of a service that have been seen while its present streams may have
    /// begun.
    pub fn seen_versions(&self, now_ms: u64, service: u64) -> Vec<u64> {
        let watch = self.watches.get(&service);
        watch.map_or_else(Vec::new, |watch| watch.versions(now_ms).collect())
    }

    /// Lists the versions of a service that have been seen for at least `settle_ms`. If lists of
    /// workers count as fresh up to that age, every instance that goes by its own list alone lists
    /// them, too.
    pub fn settled_versions(&self, now_ms: u64, service: u64, settle_ms: u64) -> Vec<u64> {
        let watch = self.watches.get(&service);
        watch.map_or_else(Vec::new, |watch| watch.settled(now_ms, settle_ms).collect())
    }

    /// Keeps a note of a stream whose first event goes to the caller, or that continues. The
    /// deadline of an earlier note moves.
    pub fn stream_began(&mut self, now_ms: u64, key: u64, origin: Origin, life_ms: u64) {
        let expires_at_ms = now_ms + life_ms.min(NOTE_MAX_MS);
        self.own
            .put(now_ms, key, origin, expires_at_ms, OWN_NOTE_MAX_COUNT);
        let mut is_single = false;
        if let Some(watch) = self.watches.get_mut(&origin.service) {
            let was_single = watch.is_single(now_ms);
            watch.seen(now_ms, origin.version);
            is_single = watch.is_single(now_ms);
            if was_single && !is_single {
                self.recheck(now_ms);
            }
        }
        if is_single {
            return;
        }
        // Before those that are only checked again, which may be many.
        self.unchecked.push_front(key);
        self.unchecked.truncate(OWN_NOTE_MAX_COUNT);
    }

    /// Marks all own notes to be checked again: the members have changed, and with them holders.
    pub fn recheck(&mut self, now_ms: u64) {
        self.own.drop_expired(now_ms);
        self.unchecked = self.own.keys().collect();
    }

    /// Returns the notes that are to be told now, by holder; at most [`TOLD_MAX_COUNT`] are
    /// checked. The rest follows with the next call.
    pub fn take_due(
        &mut self,
        now_ms: u64,
        holders_of: impl Fn(u64) -> Holders,
    ) -> BTreeMap<Ipv4Addr, Vec<OriginNote>> {
        let mut due: BTreeMap<Ipv4Addr, Vec<OriginNote>> = BTreeMap::new();
        for _ in 0..TOLD_MAX_COUNT.min(self.unchecked.len()) {
            let Some(key) = self.unchecked.pop_front() else {
                break;
            };
            let Some(note) = self.own.get_mut(now_ms, key) else {
                continue;
            };
            let watch = self.watches.get(&note.origin.service);
            if watch.is_some_and(|watch| watch.is_single(now_ms)) {
                continue;
            }
            let holders = holders_of(key);
            let told = std::mem::replace(&mut note.detail, holders);
            let message = OriginNote {
                key,
                origin: note.origin,
                expires_in_ms: u32::try_from(note.expires_at_ms - now_ms).unwrap_or(u32::MAX),
            };
            for holder in holders.into_iter().flatten() {
                if !told.contains(&Some(holder)) {
                    due.entry(holder).or_default().push(message);
                }
            }
        }
        due
    }

    /// Whether some notes are still to be checked.
    pub fn has_unchecked(&self) -> bool {
        !self.unchecked.is_empty()
    }

    /// Takes a note that another instance tells.
    pub fn told(&mut self, now_ms: u64, note: &OriginNote) {
        let expires_at_ms = now_ms + u64::from(note.expires_in_ms).min(NOTE_MAX_MS);
        self.held.put(
            now_ms,
            note.key,
            note.origin,
            expires_at_ms,
            HELD_NOTE_MAX_COUNT,
        );
    }

    /// Answers another instance that asks for the origin of a stream, or, with key zero, whether the
    /// service has had one version only.
    pub fn answer(&self, now_ms: u64, service: u64, key: u64) -> OriginAnswer {
        if key == 0 && self.resumes(now_ms, service) {
            // The asker must not take this instance for one that knows of no gap.
            return OriginAnswer::Unknown;
        }
        match (self.lookup(now_ms, key), self.view(now_ms, service)) {
            (Noted::At(origin), _) => OriginAnswer::Known(origin),
            (Noted::Nothing, VersionView::Only(version)) => OriginAnswer::Only(version),
            (Noted::Nothing, VersionView::Started(version)) => OriginAnswer::Started(version),
            (Noted::Nothing, VersionView::Uncertain) | (Noted::Disputed, _) => {
                OriginAnswer::Unknown
            }
        }
    }

    /// Decides by what is known here alone. Key zero stands for a stream whose origin is not named;
    /// it may continue as long as one version is seen. `is_list_fresh` tells whether the list of
    /// workers is as new as it is in calm: an older one may lack a version that streams have begun
    /// at elsewhere.
    pub fn decide(&self, now_ms: u64, service: u64, key: u64, is_list_fresh: bool) -> Decision {
        if key == 0 {
            return match self.seen_versions(now_ms, service)[..] {
                [version] => Decision::GoOn(Origin { service, version }),
                _ => Decision::Refuse,
            };
        }
        match (self.lookup(now_ms, key), self.view(now_ms, service)) {
            (Noted::At(origin), _) => Decision::GoOn(origin),
            (Noted::Disputed, _) => Decision::Refuse,
            (Noted::Nothing, VersionView::Only(version)) if is_list_fresh => {
                Decision::GoOn(Origin { service, version })
            }
            (Noted::Nothing, _) => Decision::Ask,
        }
    }

    /// Decides by the answers of the holders. `has_peers` tells whether there are, or may be, other
    /// instances.
    pub fn decide_by_answers(
        &mut self,
        now_ms: u64,
        service: u64,
        answers: &[OriginAnswer],
        has_peers: bool,
    ) -> Decision {
        let mut known = answers.iter().filter_map(|answer| match answer {
            OriginAnswer::Known(origin) => Some(*origin),
            _ => None,
        });
        if let Some(origin) = known.next() {
            let is_agreed = known.all(|other| other == origin);
            return if is_agreed {
                Decision::GoOn(origin)
            } else {
                Decision::Refuse
            };
        }
        let (VersionView::Started(version) | VersionView::Only(version)) =
            self.view(now_ms, service)
        else {
            return Decision::Refuse;
        };
        let goes_by_own_list = !has_peers && !self.resumes(now_ms, service);
        if self.confirm(now_ms, service, answers) || goes_by_own_list {
            Decision::GoOn(Origin { service, version })
        } else {
            Decision::Refuse
        }
    }

    /// Whether this instance watches a service anew after a gap.
    fn resumes(&self, now_ms: u64, service: u64) -> bool {
        let watch = self.watches.get(&service);
        watch.is_some_and(|watch| watch.resumes(now_ms))
    }

    /// Whether this instance watches a service.
    pub fn is_watched(&self, service: u64) -> bool {
        self.watches.contains_key(&service)
    }

    /// Counts the notes of own streams and those held for others.
    pub fn note_counts(&self) -> (usize, usize) {
        (self.own.len(), self.held.len())
    }

    /// Returns what own notes and those of others say of a stream.
    fn lookup(&self, now_ms: u64, key: u64) -> Noted {
        let own = self.own.get(now_ms, key);
        own.and(self.held.get(now_ms, key))
    }
}
