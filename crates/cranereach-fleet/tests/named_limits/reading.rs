//! How the values of an answer are read, sensible or not.

use proptest::prelude::*;

use cranereach_fleet::named_limit::NamedLimit;
use cranereach_fleet::named_limit::Said;
use cranereach_fleet::named_limit::read;

fn of(values: &[&str]) -> Said {
    read(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn each_kind_of_value_has_a_meaning() {
    assert_eq!(of(&[]), Said::Nothing);
    for (text, rate) in [
        ("1.2", 1.2),
        (" 1.2 ", 1.2),
        ("0", 0.0),
        ("-0", 0.0),
        ("200", 200.0),
        ("1e300", 1e300),
        ("0.000001", 0.000_001),
    ] {
        assert_eq!(of(&[text]), Said::Limit(rate), "{text}");
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
        assert_eq!(of(&[text]), Said::Unreadable, "{text}");
    }
    assert_eq!(read([&[0xff, 0x31][..]].into_iter()), Said::Unreadable);
    // Twice: the lowest that can be read.
    assert_eq!(of(&["3", "2"]), Said::Limit(2.0));
    assert_eq!(of(&["2", "3"]), Said::Limit(2.0));
    assert_eq!(of(&["nan", "3"]), Said::Limit(3.0));
    assert_eq!(of(&["3", "nan"]), Said::Limit(3.0));
    assert_eq!(of(&["nan", "x"]), Said::Unreadable);
}

#[test]
fn what_cannot_be_read_neither_begins_nor_ends_a_limit() {
    let mut limit = NamedLimit::default();
    assert!(!limit.heard(Said::Unreadable, true, 1_000, 1_100));
    assert_eq!(limit.rate_per_s(1_200), None);
    assert!(limit.heard(Said::Limit(2.0), true, 1_200, 1_300));
    assert!(!limit.heard(Said::Unreadable, true, 1_400, 1_500));
    assert_eq!(limit.rate_per_s(1_600), Some(2.0));
}

#[test]
fn a_rate_beyond_all_measure_is_no_limit() {
    let mut limit = NamedLimit::default();
    assert!(!limit.heard(of(&["1e300"]), true, 1_000, 1_100));
    assert_eq!(limit.rate_per_s(1_200), None);
    limit.heard(Said::Limit(2.0), true, 1_200, 1_300);
    assert!(limit.heard(of(&["1e300"]), true, 1_400, 1_500));
    assert_eq!(limit.rate_per_s(1_600), None);
}

proptest! {
    #[test]
    fn any_bytes_are_read_as_something(
        values in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..4),
    ) {
        match read(values.iter().map(Vec::as_slice)) {
            Said::Nothing => prop_assert!(values.is_empty()),
            Said::Limit(rate) => prop_assert!(rate.is_finite() && rate >= 0.0),
            Said::Unreadable => prop_assert!(!values.is_empty()),
        }
    }
}
