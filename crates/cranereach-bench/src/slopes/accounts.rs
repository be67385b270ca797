//! Costs of a gateway's decisions about client accounts, by size.

use std::hint::black_box;
use std::sync::Arc;

use super::Slope;
use super::core_decisions::measure_slope;
use super::core_decisions::time_us;
use cranereach_core::snapshot::KeyHash;
use cranereach_fleet::accounts::Account;
use cranereach_fleet::accounts::Accounts;
use cranereach_fleet::accounts::Limit;
use cranereach_fleet::accounts::LimitUnit;
use cranereach_fleet::limits::AccountUsages;
use cranereach_fleet::limits::OwnedLimits;
use cranereach_fleet::limits::Ownership;
use cranereach_fleet::limits::PartKey;
use cranereach_fleet::limits::Tolerance;
use cranereach_fleet::limits::UnitRequest;
use cranereach_fleet::regions::AllowedRegions;

/// Tolerated excess over a limit; any value will do.
const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    excess_share: 0.1,
    allowance: 17_000.0,
};

/// A limit high enough that no measurement reaches it.
const LIMIT: Limit = Limit {
    rate_per_s: 1e9,
    burst: 1e11,
    smallest_cost: 1.0,
};

/// Units that one request costs.
const COST: f64 = 2_000.0;

/// Measures how all decisions about accounts scale.
pub fn measure() -> Vec<Slope> {
    vec![
        measure_slope(
            "find the account of a key",
            "accounts",
            "us",
            &[16, 300, 1_000, 10_000],
            find_us,
        ),
        measure_slope(
            "decide about a request by what is held in advance",
            "accounts in use",
            "us",
            &[16, 300, 1_000, 10_000],
            decide_us,
        ),
        measure_slope(
            "grant units as the owner of a part",
            "parts owned",
            "us",
            &[16, 300, 1_000, 10_000],
            grant_us,
        ),
    ]
}

/// Returns the time to find an account by its API key, in microseconds.
fn find_us(count: usize) -> f64 {
    let account = |number: usize| Account {
        name: Arc::from(format!("account-{number}")),
        keys: vec![KeyHash::of(&format!("key-{number}"))],
        rank: None,
        unit: LimitUnit::Requests,
        limit: None,
        regions: AllowedRegions::Any,
    };
    let accounts = Accounts::new((0..count).map(account).collect()).unwrap_or_default();
    time_us(|| {
        black_box(accounts.by_secret("key-7"));
    })
}

/// Returns the time to admit a request whose units have been prefetched, in microseconds.
fn decide_us(count: usize) -> f64 {
    let mut usages = AccountUsages::default();
    for account in 0..count as u64 {
        usages.decide(0, account, LIMIT, &TOLERANCE, COST);
        usages.granted(0, account, 1e15, COST);
    }
    let mut account = 0;
    time_us(|| {
        account = (account + 1) % count as u64;
        black_box(usages.decide(1, account, LIMIT, &TOLERANCE, COST));
    })
}

/// Returns the time to grant units as the owner of a part of a limit, in microseconds.
fn grant_us(count: usize) -> f64 {
    let mut owned = OwnedLimits::default();
    let request = UnitRequest {
        min_units: COST,
        max_units: COST,
    };
    let mut account = 0;
    let mut grant = || {
        account = (account + 1) % count as u64;
        let key = PartKey { account, part: 0 };
        black_box(owned.take(1, key, LIMIT, &TOLERANCE, request, Ownership::Settled));
    };
    for _account in 0..count {
        grant();
    }
    time_us(grant)
}
