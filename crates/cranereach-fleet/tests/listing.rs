//! The list of workers: the deltas that instances send each other, and the lists they apply to.

use std::collections::BTreeMap;

use assert_matches::assert_matches;
use proptest::prelude::*;

use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::ListPart;
use cranereach_fleet::listing::Listing;
use cranereach_fleet::listing::Span;
use cranereach_fleet::listing::Verdict;
use cranereach_fleet::store_position::StorePosition;

/// Returns the position of a version in a store that has never been restored.
fn at(version: u64) -> StorePosition {
    StorePosition::new(0, version)
}

fn changed(key: &str, version: u64) -> ChangedRow {
    ChangedRow {
        key: key.to_owned(),
        position: at(version),
        value: Some(vec![0; 100]),
    }
}

fn ended(key: &str, version: u64) -> ChangedRow {
    ChangedRow {
        value: None,
        ..changed(key, version)
    }
}

/// Offers a delta to a list, which takes it if it applies.
fn offer(part: &ListPart<'_>, listing: &mut Listing) -> Verdict {
    let verdict = listing.judge(part.from, part.position, part.span);
    if verdict == Verdict::Applies {
        let rows = part.rows.iter().copied().cloned().collect();
        listing.take(part.position, part.span, rows);
    }
    verdict
}

fn keys(listing: &Listing) -> Vec<&str> {
    let mut keys: Vec<&str> = listing.rows().map(|(key, ..)| key).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn the_first_read_of_a_new_instance_hides_no_ended_row_from_its_peers() {
    let mut old = Listing::default();
    old.take_whole(at(5), vec![changed("stays", 1), changed("ends", 2)]);
    let mut new = Listing::default();
    // The row ended at version 7; the new instance never had it.
    new.take_whole(at(9), vec![changed("stays", 1)]);
    assert_eq!(offer(&new.part().unwrap(), &mut old), Verdict::Gap);
    assert_eq!(old.position(), at(5), "it still needs the changes after 5");
    old.take(at(9), Span::Changes, vec![ended("ends", 7)]);
    assert_eq!(keys(&old), ["stays"]);
}

#[test]
fn a_difference_of_whole_lists_applies_only_at_its_first_version() {
    let start = vec![changed("a", 1)];
    let (mut reader, mut same, mut ahead) = <(Listing, Listing, Listing)>::default();
    for listing in [&mut reader, &mut same, &mut ahead] {
        listing.take_whole(at(5), start.clone());
    }
    // A row added at 6 and removed at 7 is on neither of the reader's lists.
    ahead.take(at(6), Span::Changes, vec![changed("short", 6)]);
    reader.take_whole(at(8), Vec::new());
    assert_eq!(offer(&reader.part().unwrap(), &mut ahead), Verdict::Gap);
    assert_eq!(offer(&reader.part().unwrap(), &mut same), Verdict::Applies);
    assert!(keys(&same).is_empty());
    // Changes read later are sent without the difference that was computed from whole lists.
    reader.take(at(9), Span::Changes, vec![changed("b", 9)]);
    let part = reader.part().unwrap();
    assert_eq!((part.from, part.span), (at(8), Span::Changes));
    // An instance that received a difference passes it on as one.
    assert_eq!(same.part().unwrap().span, Span::Difference);
}

#[test]
fn ends_of_unknown_rows_are_sent_as_well() {
    let mut reader = Listing::default();
    reader.take_whole(at(5), Vec::new());
    let mut ahead = reader.clone();
    ahead.take(at(6), Span::Changes, vec![changed("short", 6)]);
    reader.take(at(8), Span::Changes, vec![ended("short", 7)]);
    assert_eq!(offer(&reader.part().unwrap(), &mut ahead), Verdict::Applies);
    assert!(keys(&ahead).is_empty());
}

#[test]
fn an_older_list_changes_no_newer_row() {
    let mut listing = Listing::default();
    listing.take_whole(at(5), vec![changed("old", 3), changed("new", 6)]);
    assert_eq!(listing.take_whole(at(4), Vec::new()), []);
    let ends = listing.take_whole(at(5), Vec::new());
    assert_eq!(
        ends,
        [ended("old", 5)],
        "the row on a later page is newer than the list"
    );
    assert_eq!(keys(&listing), ["new"]);
    assert_eq!(
        listing.take(at(6), Span::Changes, vec![changed("new", 4)]),
        []
    );
    assert_eq!(
        listing.take(at(6), Span::Changes, vec![ended("new", 6)]),
        []
    );
    assert_eq!(keys(&listing), ["new"]);
}

#[test]
fn a_delta_is_judged_by_its_first_and_last_versions() {
    let mut list = Listing::default();
    assert_eq!(list.judge(at(0), at(0), Span::Changes), Verdict::Old);
    assert_eq!(list.judge(at(0), at(9), Span::Changes), Verdict::Applies);
    assert_eq!(list.judge(at(3), at(9), Span::Changes), Verdict::Gap);
    list.take_whole(at(5), Vec::new());
    for (from_version, version, span, expected) in [
        (0, 4, Span::Changes, Verdict::Old),
        (4, 5, Span::Changes, Verdict::Applies),
        (5, 6, Span::Changes, Verdict::Applies),
        (2, 6, Span::Changes, Verdict::Applies),
        (6, 7, Span::Changes, Verdict::Gap),
        (2, 5, Span::Difference, Verdict::Applies),
        (5, 6, Span::Difference, Verdict::Applies),
        (2, 6, Span::Difference, Verdict::Gap),
        (0, 6, Span::Difference, Verdict::Gap),
        (0, 4, Span::Difference, Verdict::Old),
    ] {
        assert_eq!(
            list.judge(at(from_version), at(version), span),
            expected,
            "{from_version}..{version} {span:?}"
        );
    }
}

#[test]
fn a_delta_holds_the_last_reads_but_stays_small() {
    let mut list = Listing::default();
    assert_matches!(list.part(), None);
    list.take(at(1), Span::Changes, vec![changed("a", 1)]);
    list.take(at(2), Span::Changes, vec![changed("b", 2)]);
    let part = list.part().unwrap();
    assert_eq!((part.from, part.position), (at(0), at(2)));
    let sent_keys: Vec<&str> = part.rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(sent_keys, ["a", "b"]);
    let many = |count: u64, version: u64| {
        let rows = (0..count).map(|row| changed(&format!("{version}-{row}"), version));
        rows.collect()
    };
    list.take(at(3), Span::Changes, many(200, 3));
    let part = list.part().unwrap();
    assert_eq!((part.from, part.rows.len()), (at(2), 200));
    list.take(at(4), Span::Changes, many(10_000, 4));
    let part = list.part().unwrap();
    assert_eq!((part.from, part.rows.len()), (at(4), 0));
}

#[test]
fn an_instance_far_behind_gets_all_missed_changes_or_none() {
    let mut list = Listing::default();
    list.take_whole(at(5), vec![changed("stays", 1), changed("ends", 2)]);
    let behind = list.clone();
    for version in 6..40 {
        let row = changed(&format!("new-{version}"), version);
        list.take(at(version), Span::Changes, vec![row]);
    }
    list.take(at(40), Span::Changes, vec![ended("ends", 40)]);
    assert_eq!(
        behind.judge(list.part().unwrap().from, at(40), Span::Changes),
        Verdict::Gap
    );
    let rows = list.since(at(5)).unwrap();
    assert_eq!(rows.len(), 35, "more than a delta of the last reads holds");
    assert_eq!(rows.last(), Some(&ended("ends", 40)));
    assert_eq!(list.span_since(at(5)), Span::Changes);
    assert_eq!(
        list.since(at(4)),
        None,
        "rows that ended before the first list are unknown"
    );
    list.take_whole(at(50), Vec::new());
    assert_eq!(list.span_since(at(5)), Span::Difference);
    assert_eq!(
        list.since(at(45)),
        None,
        "a row may have been added and removed unseen"
    );
    assert!(list.since(at(40)).is_some());
}

#[test]
fn an_instance_that_fetches_a_list_adopts_its_history() {
    let mut source = Listing::default();
    source.take_whole(at(5), vec![changed("a", 1), changed("b", 2)]);
    source.take(at(9), Span::Changes, vec![ended("b", 7)]);
    let mut fetcher = Listing::default();
    fetcher.take_whole(at(9), vec![changed("a", 1)]);
    assert_eq!(
        fetcher.since(at(6)),
        None,
        "it has no history of ended rows"
    );
    fetcher.adopt_history(at(8), source.history().clone());
    assert_eq!(fetcher.since(at(6)), None, "history of another version");
    fetcher.adopt_history(at(9), source.history().clone());
    assert_eq!(fetcher.since(at(6)), Some(vec![ended("b", 7)]));
}

#[test]
fn the_history_of_ended_rows_is_bounded() {
    let mut list = Listing::default();
    list.take_whole(at(1), Vec::new());
    for version in 2..5_000 {
        let key = format!("w{version}");
        list.take(at(version), Span::Changes, vec![ended(&key, version)]);
    }
    assert_eq!(list.since(at(2)), None);
    assert_eq!(list.since(at(4_900)).map(|rows| rows.len()), Some(99));
}

/// Rows of the store by key, with their positions and contents.
type Rows = BTreeMap<String, (StorePosition, Vec<u8>)>;

/// The store: its rows, all changes in order, and its rows at each earlier position.
#[derive(Clone, Debug, Default)]
struct Store {
    position: StorePosition,
    rows: Rows,
    history: Vec<ChangedRow>,
    history_from: StorePosition,
    past: BTreeMap<StorePosition, Rows>,
}

impl Store {
    fn new() -> Self {
        let mut store = Self::default();
        store.keep_copy();
        store
    }

    fn keep_copy(&mut self) {
        self.past.insert(self.position, self.rows.clone());
    }

    /// Writes or deletes a row.
    fn change(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.position.version += 1;
        let row = ChangedRow {
            key: key.to_owned(),
            position: self.position,
            value,
        };
        match &row.value {
            Some(value) => {
                let content = (row.position, value.clone());
                self.rows.insert(row.key.clone(), content);
                self.history.push(row);
            }
            None => {
                if self.rows.remove(&row.key).is_some() {
                    self.history.push(row);
                }
            }
        }
        self.keep_copy();
    }

    /// Restores the store from a copy that lacks the last `lost_count` changes.
    fn restore(&mut self, lost_count: u64) {
        let before = self.position;
        let era = before.era + 1;
        let restored_version = before.version.saturating_sub(lost_count);
        let in_new_era = |position: StorePosition| StorePosition::new(era, position.version);
        let rows = self.past[&StorePosition::new(before.era, restored_version)].clone();
        let rows = rows.into_iter();
        let rows = rows.map(|(key, (position, value))| (key, (in_new_era(position), value)));
        self.rows = rows.collect();
        self.position = StorePosition::new(era, restored_version);
        self.history
            .retain(|row| row.position.version <= restored_version);
        for row in &mut self.history {
            row.position = in_new_era(row.position);
        }
        self.history_from.era = era;
        let earlier = self.past.range(StorePosition::start_of(before.era)..);
        let earlier: Vec<(StorePosition, Rows)> = earlier
            .filter(|(position, _)| position.version < restored_version)
            .map(|(position, rows)| (in_new_era(*position), rows.clone()))
            .collect();
        self.past.extend(earlier);
        self.keep_copy();
    }

    /// Returns the newest change of each row that changed after a position; none if that history
    /// has been discarded or the position is of an earlier era.
    fn changes_after(&self, after: StorePosition) -> Option<Vec<ChangedRow>> {
        let mut newest: BTreeMap<&str, &ChangedRow> = BTreeMap::new();
        for row in self.history.iter().filter(|row| row.position > after) {
            newest.insert(&row.key, row);
        }
        let is_known = after.era == self.position.era && after >= self.history_from;
        is_known.then(|| newest.into_values().cloned().collect())
    }

    fn whole(&self) -> Vec<ChangedRow> {
        let rows = self.rows.iter();
        rows.map(|(key, (position, value))| ChangedRow {
            key: key.clone(),
            position: *position,
            value: Some(value.clone()),
        })
        .collect()
    }
}

/// One event of a random sequence.
#[derive(Clone, Debug)]
enum Event {
    /// A worker's row is written, with one of a few contents.
    Put(u8, u8),
    /// A worker's row ends.
    End(u8),
    /// The store discards its history.
    DiscardHistory,
    /// The store is restored from a copy that lacks this many of the last changes.
    Restore(u64),
    /// An instance reads the store and sends a delta.
    Read(usize),
    /// A message arrives at an instance; if `is_kept`, it may arrive again later.
    Arrive {
        message: usize,
        at: usize,
        is_kept: bool,
    },
    /// An instance fetches the whole list of another.
    Fetch { from: usize, to: usize },
    /// An instance requests all changes since its own position from another.
    CatchUp { from: usize, to: usize },
    /// An instance restarts and knows nothing.
    Restart(usize),
}

const INSTANCE_COUNT: usize = 4;

/// Generates events, with or without restores of the store.
fn event(is_restored: bool) -> impl Strategy<Value = Event> {
    let instance = 0..INSTANCE_COUNT;
    prop_oneof![
        u32::from(is_restored) => (0_u64..6).prop_map(Event::Restore),
        4 => (0_u8..5, 0_u8..3).prop_map(|(worker, content)| Event::Put(worker, content)),
        3 => (0_u8..5).prop_map(Event::End),
        1 => Just(Event::DiscardHistory),
        6 => instance.clone().prop_map(Event::Read),
        9 => (0_usize..6, instance.clone(), any::<bool>())
            .prop_map(|(message, at, is_kept)| Event::Arrive { message, at, is_kept }),
        2 => (instance.clone(), instance.clone()).prop_map(|(from, to)| Event::Fetch { from, to }),
        4 => (instance.clone(), instance.clone())
            .prop_map(|(from, to)| Event::CatchUp { from, to }),
        2 => instance.prop_map(Event::Restart),
    ]
}

/// A delta in transit.
struct Message {
    from: StorePosition,
    position: StorePosition,
    span: Span,
    rows: Vec<ChangedRow>,
}

fn delta_message(listing: &Listing) -> Option<Message> {
    let part = listing.part()?;
    Some(Message {
        from: part.from,
        position: part.position,
        span: part.span,
        rows: part.rows.into_iter().cloned().collect(),
    })
}

/// Returns the message with all changes that an instance has missed.
fn catch_up_message(from: &Listing, to: &Listing) -> Option<Message> {
    let rows = from.since(to.position())?;
    (to.position() < from.position()).then(|| Message {
        from: to.position(),
        position: from.position(),
        span: from.span_since(to.position()),
        rows,
    })
}

fn read_store(store: &Store, listing: &mut Listing) {
    let changes = store.changes_after(listing.position());
    match changes.filter(|_| !listing.position().is_none()) {
        Some(rows) => listing.take(store.position, Span::Changes, rows),
        None => listing.take_whole(store.position, store.whole()),
    };
}

/// Runs events, and checks after each that every list equals the store's at its position.
fn run_events(events: Vec<Event>) -> Result<(), TestCaseError> {
    let mut store = Store::new();
    let mut listings = vec![Listing::default(); INSTANCE_COUNT];
    let mut messages: Vec<Message> = Vec::new();
    for event in events {
        match event {
            Event::Put(worker, content) => {
                store.change(&format!("w{worker}"), Some(vec![content]));
            }
            Event::End(worker) => store.change(&format!("w{worker}"), None),
            Event::DiscardHistory => store.history_from = store.position,
            Event::Restore(lost_count) => store.restore(lost_count),
            Event::Read(at) => {
                read_store(&store, &mut listings[at]);
                messages.extend(delta_message(&listings[at]));
            }
            Event::Arrive {
                message,
                at,
                is_kept,
            } => {
                if message < messages.len() {
                    let delta = &messages[message];
                    let verdict = listings[at].judge(delta.from, delta.position, delta.span);
                    if verdict == Verdict::Applies {
                        listings[at].take(delta.position, delta.span, delta.rows.clone());
                    }
                    if !is_kept {
                        messages.remove(message);
                    }
                }
            }
            Event::Fetch { from, to } => {
                let position = listings[from].position();
                let rows = listings[from].rows();
                let rows = rows.map(|(key, position, value)| ChangedRow {
                    key: key.to_owned(),
                    position,
                    value: Some(value.to_vec()),
                });
                let rows = rows.collect();
                if position > listings[to].position() {
                    let history = listings[from].history().clone();
                    listings[to].take_whole(position, rows);
                    listings[to].adopt_history(position, history);
                }
            }
            Event::CatchUp { from, to } => {
                messages.extend(catch_up_message(&listings[from], &listings[to]));
            }
            Event::Restart(at) => listings[at] = Listing::default(),
        }
        for listing in &listings {
            check(&store, listing)?;
        }
    }
    Ok(())
}

/// Checks that the rows of an instance are those of the store at its position.
///
/// Rows that a restore left unchanged keep the position that they had before.
fn check(store: &Store, listing: &Listing) -> Result<(), TestCaseError> {
    let expected = &store.past[&listing.position()];
    let keys: Vec<&str> = keys(listing);
    let expected_keys: Vec<&str> = expected.keys().map(String::as_str).collect();
    prop_assert_eq!(keys, expected_keys, "{}", listing.position());
    for (key, position, value) in listing.rows() {
        let (expected_position, expected_value) = &expected[key];
        prop_assert_eq!(
            value,
            expected_value.as_slice(),
            "{} {}",
            listing.position(),
            key
        );
        prop_assert!(position <= listing.position());
        if listing.position().era == 0 {
            prop_assert_eq!(position, *expected_position, "{}", key);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever messages are lost, duplicated or late, and whatever history is discarded: the rows
    /// of an instance are those of the store at the instance's position.
    #[test]
    fn a_list_equals_that_of_the_store_at_its_version(
        events in proptest::collection::vec(event(false), 1..120)
    ) {
        run_events(events)?;
    }

    /// Guards against rows of an earlier era that remain or are missing when the store has lost
    /// changes and assigns their versions again.
    #[test]
    fn a_list_equals_that_of_the_store_despite_restores(
        events in proptest::collection::vec(event(true), 1..120)
    ) {
        run_events(events)?;
    }
}
