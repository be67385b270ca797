//! Starts of whole fleets and of single instances.

use crate::CROSS_DOMAIN_MAX_COUNT;
use crate::Fleet;
use crate::STORE_READ_MAX_COUNT;
use crate::STORE_READ_MS;

#[test]
fn a_simultaneous_start_reads_the_store_a_few_times_at_any_fleet_size() {
    for count in [1, 6, 78, 300, 1_000] {
        let mut fleet = Fleet::start(count, 3);
        let took_ms = fleet.run_until_all_have_list(40_000);
        let (reads, fetches) = (fleet.store_read_count, fleet.cross_domain_count);
        println!("{count}: {took_ms} ms, {reads} store reads, {fetches} cross-domain fetches");
        assert!(took_ms <= 12_000, "{count}: {took_ms}");
        assert!(reads <= STORE_READ_MAX_COUNT, "{count}: {reads}");
        assert!(fetches <= CROSS_DOMAIN_MAX_COUNT, "{count}: {fetches}");
    }
}

#[test]
fn restarted_instances_fetch_the_list_from_peers_of_their_domain() {
    let mut fleet = Fleet::start(300, 5);
    fleet.run_until_all_have_list(40_000);
    fleet.restart((0..300).filter(|number| number % 10 == 0));
    let took_ms = fleet.run_until_all_have_list(40_000);
    println!(
        "restart: {took_ms} ms, {} cross-domain fetches",
        fleet.cross_domain_count
    );
    assert!(took_ms <= 4_000, "{took_ms}");
    assert!(fleet.store_read_count <= 1, "{}", fleet.store_read_count);
    assert!(
        fleet.cross_domain_count <= 6,
        "{}",
        fleet.cross_domain_count
    );
}

#[test]
fn instances_get_the_list_without_seeds_and_after_a_store_outage() {
    let mut fleet = Fleet::start(60, 7);
    fleet.are_seeds_down = true;
    // With the seeds down, the instances hear from nobody and read the store themselves.
    let took_ms = fleet.run_until_all_have_list(40_000);
    assert!(took_ms <= 2_000 + STORE_READ_MS + 500, "{took_ms}");
    // While the store is down, few instances read at the same time; all have the list soon
    // after it is back.
    let mut fleet = Fleet::start(300, 9);
    fleet.is_store_down = true;
    fleet.run_until_all_have_list(10_000);
    assert_eq!(fleet.has_list_count(), 0);
    assert!(fleet.store_read_count <= 300, "{}", fleet.store_read_count);
    fleet.is_store_down = false;
    let took_ms = fleet.run_until_all_have_list(40_000);
    println!("store available again: {took_ms} ms");
    assert!(took_ms <= 10_000, "{took_ms}");
}
