//! Client accounts are found by their keys; invalid ones are rejected.

use std::sync::Arc;
use std::time::Instant;

use assert_matches::assert_matches;

use cranereach_core::snapshot::KeyHash;
use cranereach_fleet::accounts::Account;
use cranereach_fleet::accounts::AccountError;
use cranereach_fleet::accounts::Accounts;
use cranereach_fleet::accounts::Limit;
use cranereach_fleet::accounts::LimitUnit;
use cranereach_fleet::regions::AllowedRegions;

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: Arc::from(name),
        keys: keys.iter().map(|key| KeyHash::of(key)).collect(),
        rank: None,
        unit: LimitUnit::Requests,
        limit: None,
        regions: AllowedRegions::Any,
    }
}

#[test]
fn errors_name_the_account() {
    let limited = |rate_per_s: f64, burst: f64| Account {
        limit: Some(Limit {
            rate_per_s,
            burst,
            smallest_cost: 1.0,
        }),
        ..account("ships", &["b"])
    };
    assert_matches!(
        Accounts::new(vec![account("crews", &["a"]), account("ships", &["b", "a"])]),
        Err(AccountError::SharedKey(name, other)) if name == "ships" && other == "crews"
    );
    assert_matches!(
        Accounts::new(vec![account("crews", &["a"]), account("crews", &["b"])]),
        Err(AccountError::NameTwice(name)) if name == "crews"
    );
    assert_matches!(
        Accounts::new(vec![account("crews", &[""])]),
        Err(AccountError::EmptyKey(name)) if name == "crews"
    );
    for name in [
        "",
        "two words",
        "line\nbreak",
        "\u{fc}nicode",
        &"x".repeat(201),
    ] {
        assert_matches!(
            Accounts::new(vec![account(name, &["a"])]),
            Err(AccountError::Name(_))
        );
    }
    for (rate_per_s, burst) in [(-1.0, 0.0), (1.0, -1.0), (f64::NAN, 1.0), (1e13, 1.0)] {
        assert_matches!(
            Accounts::new(vec![limited(rate_per_s, burst)]),
            Err(AccountError::Limit(name)) if name == "ships"
        );
    }
    // A key that is listed twice in one account is harmless.
    assert_matches!(Accounts::new(vec![account("crews", &["a", "a"])]), Ok(_));
}

#[test]
fn ten_thousand_accounts_are_found_and_share_a_bounded_number_of_series() {
    let accounts = (0..10_000).map(|number| {
        let keys: Vec<String> = (0..20).map(|key| format!("{number}-{key}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        account(&format!("account-{number}"), &keys)
    });
    let accounts = Accounts::new(accounts.collect()).unwrap();
    assert_eq!(accounts.count(), 10_000);
    let found = accounts.by_secret("9999-19").unwrap();
    assert_eq!(found.name.as_ref(), "account-9999");
    assert_eq!(accounts.label(found), "other");
    let started = Instant::now();
    let wrong =
        (0..20_000).filter(|number| accounts.by_secret(&format!("wrong-{number}")).is_some());
    assert_eq!(wrong.count(), 0);
    println!("20,000 wrong keys: {:?}", started.elapsed());
}

#[test]
fn the_cost_of_a_request_depends_on_the_limit_unit() {
    let plain = account("crews", &["a"]);
    assert_eq!((plain.cost(None), plain.cost(Some(5_000))), (1.0, 1.0));
    let by_tokens = Account {
        unit: LimitUnit::Tokens {
            default_tokens: 200.0,
        },
        ..plain
    };
    assert_eq!(
        (by_tokens.cost(None), by_tokens.cost(Some(5_000))),
        (200.0, 5_000.0)
    );
}
