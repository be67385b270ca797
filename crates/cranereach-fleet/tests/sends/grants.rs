//! Grants that a single owner gives.

use std::net::Ipv4Addr;

use crate::fleet::WORKER;
use crate::fleet::address;
use cranereach_fleet::membership::Membership;
use cranereach_fleet::send_grants::AskPause;
use cranereach_fleet::send_grants::Ownership;
use cranereach_fleet::send_grants::SendAnswer;
use cranereach_fleet::send_grants::SendGrants;
use cranereach_fleet::send_grants::SendRule;
use cranereach_fleet::topology::DomainTag;

/// Counts the grants if one request for a grant comes every 10 ms.
fn granted_count(rate_per_s: f64, for_ms: u64, ownership: Ownership) -> usize {
    let mut owner = SendGrants::default();
    let rules = [SendRule::of_limit(rate_per_s)];
    let times = (0..for_ms).step_by(10).map(|offset_ms| 1_000 + offset_ms);
    let answers = times.map(|now_ms| owner.ask(now_ms, WORKER, &rules, 0, ownership));
    answers.filter(|answer| *answer == SendAnswer::Send).count()
}

#[test]
fn a_settled_owner_grants_the_named_rate() {
    for rate_per_s in [0.3, 1.0, 1.2, 10.0, 50.0] {
        let count = granted_count(rate_per_s, 60_000, Ownership::Settled) as f64;
        let share = count / (rate_per_s * 60.0);
        assert!((0.9..1.15).contains(&share), "{rate_per_s}: {share}");
    }
}

#[test]
fn a_minimum_rate_is_granted_for_any_limit() {
    for rate_per_s in [0.0, 1e-9, 0.01] {
        let count = granted_count(rate_per_s, 60_000, Ownership::Settled);
        assert!((6..=8).contains(&count), "{rate_per_s}: {count}");
    }
}

#[test]
fn a_minority_grants_its_share_after_a_delay() {
    let minority = |for_ms: u64| Ownership::Minority {
        share: 0.25,
        for_ms,
    };
    let rules = [SendRule::of_limit(1.0)];
    let mut owner = SendGrants::default();
    let mut ask = |now_ms| owner.ask(now_ms, WORKER, &rules, 0, minority(now_ms - 10_000));
    assert_ne!(ask(13_900), SendAnswer::Send);
    assert_eq!(ask(14_000), SendAnswer::Send);
    assert_ne!(ask(17_900), SendAnswer::Send);
    assert_eq!(ask(18_000), SendAnswer::Send);
    let mut owner = SendGrants::default();
    let cold = [SendRule::of_cold(8.7, 1.5, 5.0)];
    let answer = owner.ask(90_000, WORKER, &cold, 0, minority(80_000));
    assert_ne!(answer, SendAnswer::Send, "a cold worker");
}

#[test]
fn the_stricter_of_two_rules_applies() {
    let mut owner = SendGrants::default();
    let rules = [SendRule::of_cold(8.7, 1.5, 5.0), SendRule::of_limit(0.3)];
    let times = (0..3_000).step_by(10).map(|offset_ms| 1_000 + offset_ms);
    let answers = times.map(|now_ms| owner.ask(now_ms, WORKER, &rules, 0, Ownership::Settled));
    let sent = answers.filter(|answer| *answer == SendAnswer::Send);
    assert_eq!(sent.count(), SendRule::of_limit(0.3).count());
}

#[test]
fn refused_requests_get_increasing_retry_delays() {
    let mut owner = SendGrants::default();
    let rules = [SendRule::of_limit(1.0)];
    let mut ask = |now_ms| owner.ask(now_ms, WORKER, &rules, 0, Ownership::Settled);
    while ask(1_000) == SendAnswer::Send {}
    let waits: Vec<u64> = (0..100)
        .filter_map(|_| match ask(1_000) {
            SendAnswer::Send => None,
            SendAnswer::After(wait_ms) => Some(wait_ms),
        })
        .collect();
    assert!(waits.is_sorted());
    assert!(waits[99] > waits[0] + 4_000, "{waits:?}");
}

/// Returns the instance that ranks first for the worker, and all instances in rank order.
fn ranked_addresses(count: usize) -> (Ipv4Addr, Vec<Ipv4Addr>) {
    let all: Vec<Ipv4Addr> = (0..count).map(address).collect();
    let probe = Membership::new(Ipv4Addr::new(10, 9, 9, 9), DomainTag::default(), &all);
    let mut seen = probe;
    for each in &all {
        seen.heard_from(1_000, *each, DomainTag::default(), false);
    }
    let order = seen.first(1_000, WORKER, count);
    (order[0], order)
}

#[test]
fn only_a_change_of_higher_ranks_makes_an_owner_new() {
    let (_, order) = ranked_addresses(9);
    let own = order[1];
    let others: Vec<Ipv4Addr> = order
        .iter()
        .copied()
        .filter(|other| *other != own)
        .collect();
    let mut members = Membership::new(own, DomainTag::default(), &[]);
    let now_ms = 100_000;
    for other in &others {
        members.heard_from(now_ms, *other, DomainTag::default(), false);
    }
    members.refresh(now_ms);
    let ownership =
        |members: &Membership, at_ms: u64| Ownership::of(members, at_ms, WORKER, 90_000);
    let refresh_during = |members: &mut Membership, from_ms: u64, to_ms: u64| {
        for at_ms in (from_ms..=to_ms).step_by(250) {
            members.refresh(at_ms);
        }
    };
    assert_eq!(
        ownership(&members, now_ms),
        Ownership::Other,
        "another instance ranks first"
    );
    // The instance that ranks first leaves: this one takes over, and is new for a while.
    members.heard_from(now_ms + 10, others[0], DomainTag::default(), true);
    assert_eq!(ownership(&members, now_ms + 20), Ownership::New);
    for other in &others[1..] {
        members.heard_from(now_ms + 2_600, *other, DomainTag::default(), false);
    }
    refresh_during(&mut members, now_ms, now_ms + 2_600);
    assert_eq!(ownership(&members, now_ms + 2_600), Ownership::Settled);
    // An instance that ranks after it leaves: nothing changes for the worker.
    members.heard_from(now_ms + 2_650, others[5], DomainTag::default(), true);
    members.refresh(now_ms + 2_660);
    assert_eq!(ownership(&members, now_ms + 2_700), Ownership::Settled);
    // It is suspended, and then receives all waiting heartbeats at once: others may have taken
    // over.
    assert_eq!(ownership(&members, now_ms + 3_700), Ownership::New);
    for other in &others[1..] {
        members.heard_from(now_ms + 6_000, *other, DomainTag::default(), false);
    }
    members.refresh(now_ms + 6_000);
    assert_eq!(ownership(&members, now_ms + 6_100), Ownership::New);
    refresh_during(&mut members, now_ms + 6_000, now_ms + 8_500);
    for other in &others[1..] {
        members.heard_from(now_ms + 8_500, *other, DomainTag::default(), false);
    }
    assert_eq!(ownership(&members, now_ms + 8_600), Ownership::Settled);
}

/// Guards against a short pause that all ranks keep ending a longer one that an owner named.
#[test]
fn a_postponed_query_shortens_no_refusal() {
    let mut pause = AskPause::default();
    pause.refused_until(1, 5_000);
    pause.postponed_until(1_060);
    assert!(!pause.may_ask(1_050, 0));
    assert!(pause.may_ask(1_060, 0));
    assert!(!pause.may_ask(4_999, 1));
    assert!(pause.may_ask(5_000, 2));
}
