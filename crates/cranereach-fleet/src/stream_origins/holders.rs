//! The two instances that hold the note of a stream.

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::topology::DomainTag;

/// Number of holders of a note.
pub const HOLDER_COUNT: usize = 2;

/// Holders of a note; fewer if there are not as many instances.
pub type Holders = [Option<Ipv4Addr>; HOLDER_COUNT];

/// Returns the holders of a stream's note among the live members, given with their failure domains.
///
/// All instances that know the same members find the same holders (rendezvous hashing). The second
/// is in another failure domain than the first wherever there is one.
///
/// ```
/// use std::net::Ipv4Addr;
///
/// use cranereach_fleet::stream_origins::holders;
/// use cranereach_fleet::topology::DomainTag;
///
/// let member = |last, domain| (Ipv4Addr::new(10, 0, 0, last), DomainTag::of(domain));
/// let members = [member(1, "a"), member(2, "a"), member(3, "b")];
/// for key in 1..100 {
///     let [first, second] = holders(key, members.into_iter());
///     let has_other_domain = [first, second].contains(&Some(members[2].0));
///     assert!(has_other_domain && first != second);
/// }
/// ```
pub fn holders(key: u64, members: impl Iterator<Item = (Ipv4Addr, DomainTag)>) -> Holders {
    let mut best: Option<(u64, Ipv4Addr, DomainTag)> = None;
    let mut best_elsewhere = None;
    let mut second_best = None;
    for (address, domain) in members {
        let candidate = (xxh3_64_with_seed(&address.octets(), key), address, domain);
        let Some(leader) = best else {
            best = Some(candidate);
            continue;
        };
        let (winner, loser) = if (candidate.0, candidate.1) > (leader.0, leader.1) {
            (candidate, leader)
        } else {
            (leader, candidate)
        };
        if winner.2 != leader.2 {
            // Whatever stood in another domain than the former leader need not do so now; the former
            // leader does, and outweighs them all.
            best_elsewhere = None;
        }
        best = Some(winner);
        keep_heavier(&mut second_best, loser);
        if loser.2 != winner.2 {
            keep_heavier(&mut best_elsewhere, loser);
        }
    }
    let second = best_elsewhere.or(second_best);
    [best, second].map(|holder| holder.map(|(_, address, _)| address))
}

/// Replaces a candidate by a heavier one.
fn keep_heavier(
    kept: &mut Option<(u64, Ipv4Addr, DomainTag)>,
    candidate: (u64, Ipv4Addr, DomainTag),
) {
    if kept.is_none_or(|kept| (candidate.0, candidate.1) > (kept.0, kept.1)) {
        *kept = Some(candidate);
    }
}
