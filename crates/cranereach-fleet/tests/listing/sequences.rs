//! Random sequences of changes, reads and deltas, with and without restores of the store.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::keys;
use cranereach_fleet::listing::ChangedRow;
use cranereach_fleet::listing::Listing;
use cranereach_fleet::listing::Span;
use cranereach_fleet::listing::Verdict;
use cranereach_fleet::store_position::StorePosition;

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
