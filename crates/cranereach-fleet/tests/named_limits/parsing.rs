//! Parsing of the limit values of an answer, valid or not.

use proptest::prelude::*;

use cranereach_fleet::named_limit::NamedLimit;
use cranereach_fleet::named_limit::NamedRate;
use cranereach_fleet::named_limit::read;

fn parse(values: &[&str]) -> NamedRate {
    read(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn each_kind_of_value_is_parsed() {
    assert_eq!(parse(&[]), NamedRate::Nothing);
    for (text, rate) in [
        ("1.2", 1.2),
        (" 1.2 ", 1.2),
        ("0", 0.0),
        ("-0", 0.0),
        ("200", 200.0),
        ("1e300", 1e300),
        ("0.000001", 0.000_001),
    ] {
        assert_eq!(parse(&[text]), NamedRate::Limit(rate), "{text}");
    }
    let long = "1".repeat(64);
    for text in [
        "",
        " ",
        "-1",
        "nan",
        "NaN",
        "inf",
        "-inf",
        "1,2",
        "1.2/s",
        "one",
        "0x10",
        "1e999",
        long.as_str(),
    ] {
        assert_eq!(parse(&[text]), NamedRate::Unreadable, "{text}");
    }
    assert_eq!(read([&[0xff, 0x31][..]].into_iter()), NamedRate::Unreadable);
    // Several values: the lowest valid one counts.
    assert_eq!(parse(&["3", "2"]), NamedRate::Limit(2.0));
    assert_eq!(parse(&["2", "3"]), NamedRate::Limit(2.0));
    assert_eq!(parse(&["nan", "3"]), NamedRate::Limit(3.0));
    assert_eq!(parse(&["3", "nan"]), NamedRate::Limit(3.0));
    assert_eq!(parse(&["nan", "x"]), NamedRate::Unreadable);
}

#[test]
fn an_invalid_value_neither_starts_nor_ends_a_limit() {
    let mut limit = NamedLimit::default();
    assert!(!limit.observe(NamedRate::Unreadable, true, 1_000, 1_100));
    assert_eq!(limit.rate_per_s(1_200), None);
    assert!(limit.observe(NamedRate::Limit(2.0), true, 1_200, 1_300));
    assert!(!limit.observe(NamedRate::Unreadable, true, 1_400, 1_500));
    assert_eq!(limit.rate_per_s(1_600), Some(2.0));
}

#[test]
fn an_excessive_rate_is_no_limit() {
    let mut limit = NamedLimit::default();
    assert!(!limit.observe(parse(&["1e300"]), true, 1_000, 1_100));
    assert_eq!(limit.rate_per_s(1_200), None);
    limit.observe(NamedRate::Limit(2.0), true, 1_200, 1_300);
    assert!(limit.observe(parse(&["1e300"]), true, 1_400, 1_500));
    assert_eq!(limit.rate_per_s(1_600), None);
}

proptest! {
    #[test]
    fn any_bytes_are_parsed(
        values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..4),
    ) {
        match read(values.iter().map(Vec::as_slice)) {
            NamedRate::Nothing => prop_assert!(values.is_empty()),
            NamedRate::Limit(rate) => prop_assert!(rate.is_finite() && rate >= 0.0),
            NamedRate::Unreadable => prop_assert!(!values.is_empty()),
        }
    }
}
